package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/record"
	"laburnumvane/platform"
	"laburnumvane/platform/stand"
)

func containsStore(line string) bool { return strings.Contains(line, "the store") }

// soakClient sends requests on open connections and holds the answers to the
// promises.
type soakClient struct {
	so   *soak
	rnd  *rand.Rand
	http *http.Client
}

func (sc *soakClient) run() {
	defer sc.http.CloseIdleConnections()
	for !sc.so.done.Load() {
		paths := []string{stand.PathSearch, stand.PathSearch, stand.PathLedger, stand.PathOnce}
		sc.ask(sc.so.vms[sc.rnd.IntN(len(sc.so.vms))], paths[sc.rnd.IntN(len(paths))])
		time.Sleep(time.Duration(5+sc.rnd.IntN(20)) * time.Millisecond)
	}
}

func (sc *soakClient) ask(vm *soakVM, path string) {
	id := nextSoakID()
	method := http.MethodGet
	var body io.Reader = http.NoBody
	if path == stand.PathOnce {
		method, body = http.MethodPost, strings.NewReader("some body")
	}
	rq, err := http.NewRequest(method, "http://"+vm.place.ClientAddr+path+id, body)
	if err != nil {
		sc.so.broken("%v", err)
		return
	}
	rq.Host = stand.Host
	rq.Header.Set(platform.HeaderRequestID, id)
	rq.Header.Set(platform.HeaderDeadline, "1500")
	sc.so.asked.Add(1)
	began := time.Now()
	rs, err := sc.http.Do(rq)
	if err != nil {
		sc.failed(vm, path, id, began, err)
		return
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		sc.failed(vm, path, id, began, err)
		return
	}
	sc.judge(path, id, rs, text)
}

// failed judges a request without an answer: around a planned stop, and with
// nothing else done to the VM, a request that was passed on must be answered.
func (sc *soakClient) failed(vm *soakVM, path, id string, began time.Time, err error) {
	vm.mu.Lock()
	planned := !vm.stopping.IsZero() && vm.harmed.Before(began.Add(-soakPatience))
	vm.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(err.Error(), "Timeout") {
		return
	}
	if planned && sc.timesRun(id) > 0 {
		sc.so.broken("%s %s: cut off by a planned stop of %s: %v", path, id, vm.name, err)
	}
	if path == stand.PathOnce && sc.timesRun(id) > 1 {
		sc.so.broken("%s ran %d times", id, sc.timesRun(id))
	}
}

// judge holds an answer to what it claims.
func (sc *soakClient) judge(path, id string, rs *http.Response, body []byte) {
	ran := sc.timesRun(id)
	if blames(body) {
		sc.so.broken("%s %s was refused for crashing servers", path, id)
	}
	switch {
	case path == stand.PathOnce && ran > 1:
		sc.so.broken("%s ran %d times", id, ran)
	case path == stand.PathOnce && notRun(rs.StatusCode) && ran > 0:
		sc.so.broken("%s was answered %d and ran", id, rs.StatusCode)
	case rs.StatusCode != http.StatusOK:
	case path == stand.PathSearch:
		sc.so.served.Add(1)
		if why := sc.gathered(id, rs, body); why != "" {
			sc.so.broken("search %s: %s", id, why)
		}
	default:
		sc.so.served.Add(1)
		if !bytes.Equal(body, stand.Records("ledger")) || !sc.signed(id, "ledger", rs.Header.Get(platform.HeaderReceipt)) {
			sc.so.broken("%s %s: not a server's answer to it: %.80q", path, id, body)
		}
	}
}

// notRun tells whether a status promises that the request did not run.
func notRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func (sc *soakClient) timesRun(id string) int {
	n := 0
	for _, sv := range sc.so.site.Ever() {
		for _, ran := range sv.Ran() {
			if ran == id {
				n++
			}
		}
	}
	return n
}

func (sc *soakClient) signed(id, service, receipt string) bool {
	for _, sv := range sc.so.site.Ever() {
		if sv.Service == service && sv.Receipt(id) == receipt {
			return true
		}
	}
	return false
}

// gathered tells what is wrong with a gathered answer.
func (sc *soakClient) gathered(id string, rs *http.Response, body []byte) string {
	var bodies [][]byte
	seen := map[string]bool{}
	for _, receipt := range strings.Split(rs.Header.Get(platform.HeaderParts), ", ") {
		service, _, _ := strings.Cut(receipt, ".")
		if seen[service] || !sc.signed(id, service, receipt) {
			return "a receipt that is no server's: " + receipt
		}
		seen[service] = true
		bodies = append(bodies, stand.Records(service))
	}
	if rs.Header.Get(platform.HeaderMissing) != fmt.Sprint(soakShards-len(bodies)) {
		return "the number of missing shards is not true"
	}
	const limit, least = 5, 3
	if len(bodies) < least {
		return "too few shards"
	}
	if !bytes.Equal(body, record.Greatest(bodies, limit)) {
		return "the body is not made of its shards"
	}
	return ""
}
