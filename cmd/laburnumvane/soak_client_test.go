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
	"laburnumvane/platform/fakes"
)

// mentionsStore reports whether an event concerns the store or a link to it.
func mentionsStore(line string) bool { return strings.Contains(line, "the store") }

// soakClient sends requests over keep-alive connections and checks the answers.
type soakClient struct {
	so   *soak
	rnd  *rand.Rand
	http *http.Client
	// account is the client's account, if clients have accounts; empty means soakOpen.
	account string
}

func (sc *soakClient) run() {
	defer sc.http.CloseIdleConnections()
	for !sc.so.done.Load() {
		paths := []string{fakes.PathSearch, fakes.PathSearch, fakes.PathLedger, fakes.PathOnce}
		sc.send(sc.so.vms[sc.rnd.IntN(len(sc.so.vms))], paths[sc.rnd.IntN(len(paths))])
		time.Sleep(time.Duration(5+sc.rnd.IntN(20)) * time.Millisecond)
	}
}

// send sends a request and returns the status of the answer, or 0 without one.
func (sc *soakClient) send(vm *soakVM, path string) int {
	id := nextSoakID()
	method := http.MethodGet
	var body io.Reader = http.NoBody
	if path == fakes.PathOnce {
		method, body = http.MethodPost, strings.NewReader("some body")
	}
	rq, err := http.NewRequest(method, "http://"+vm.place.ClientAddr+path+id, body)
	if err != nil {
		sc.so.fail("%v", err)
		return 0
	}
	rq.Host = fakes.Host
	rq.Header.Set(platform.HeaderRequestID, id)
	rq.Header.Set(platform.HeaderDeadline, "1500")
	key := sc.so.accounts.authorize(rq, sc.account)
	sc.so.sent.Add(1)
	start := time.Now()
	rs, err := sc.http.Do(rq)
	if err != nil {
		sc.checkFailure(vm, path, id, start, err)
		return 0
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		sc.checkFailure(vm, path, id, start, err)
		return 0
	}
	sc.checkAnswer(path, id, rs, text)
	sc.so.accounts.checkStatus(id, key, rs.StatusCode, start)
	return rs.StatusCode
}

// checkFailure checks a request without an answer. A request that reached a server must be answered if
// its VM was in a planned stop and had no other fault shortly before. A time-out is no violation.
func (sc *soakClient) checkFailure(vm *soakVM, path, id string, start time.Time, err error) {
	vm.mu.Lock()
	planned := !vm.stopSentAt.IsZero() && vm.lastFault.Before(start.Add(-soakRequestTimeout))
	vm.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(err.Error(), "Timeout") {
		return
	}
	if planned && sc.runCount(id) > 0 {
		sc.so.fail("%s %s: cut off by the planned stop of %s: %v", path, id, vm.name, err)
	}
	if path == fakes.PathOnce && sc.runCount(id) > 1 {
		sc.so.fail("%s ran %d times", id, sc.runCount(id))
	}
}

// checkAnswer checks an answer against the record of what the servers ran.
func (sc *soakClient) checkAnswer(path, id string, rs *http.Response, body []byte) {
	ran := 0
	if path == fakes.PathOnce {
		ran = sc.runCount(id)
	}
	if reportsCrashingRequest(body) {
		sc.so.fail("%s %s was refused as a request that crashes servers", path, id)
	}
	switch {
	case path == fakes.PathOnce && ran > 1:
		sc.so.fail("%s ran %d times", id, ran)
	case path == fakes.PathOnce && promisesNotRun(rs.StatusCode) && ran > 0:
		sc.so.fail("%s was answered %d and ran", id, rs.StatusCode)
	case rs.StatusCode != http.StatusOK:
	case path == fakes.PathSearch:
		sc.so.served.Add(1)
		if why := sc.checkGathered(id, rs, body); why != "" {
			sc.so.fail("search %s: %s", id, why)
		}
	default:
		sc.so.served.Add(1)
		if !bytes.Equal(body, fakes.Records("ledger")) || !sc.issuedReceipt(id, "ledger", rs.Header.Get(platform.HeaderReceipt)) {
			sc.so.fail("%s %s: not the answer of a server to it: %.80q", path, id, body)
		}
	}
}

// promisesNotRun reports whether a status states that the request did not run.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// runCount returns how often servers ran the request, those that have ended included.
func (sc *soakClient) runCount(id string) int {
	n := 0
	for _, sv := range sc.so.site.AllServers() {
		for _, ran := range sv.Ran() {
			if ran == id {
				n++
			}
		}
	}
	return n
}

// issuedReceipt reports whether a server of the service issued the receipt for the request.
func (sc *soakClient) issuedReceipt(id, service, receipt string) bool {
	for _, sv := range sc.so.site.AllServers() {
		if sv.Service == service && sv.Signature(id) == receipt {
			return true
		}
	}
	return false
}

// checkGathered describes what is wrong with an answer gathered from shards, or returns "".
func (sc *soakClient) checkGathered(id string, rs *http.Response, body []byte) string {
	var bodies [][]byte
	seen := map[string]bool{}
	for _, receipt := range strings.Split(rs.Header.Get(platform.HeaderParts), ", ") {
		service, _, _ := strings.Cut(receipt, ".")
		if seen[service] || !sc.issuedReceipt(id, service, receipt) {
			return "a receipt that no server issued: " + receipt
		}
		seen[service] = true
		bodies = append(bodies, fakes.Records(service))
	}
	if rs.Header.Get(platform.HeaderMissing) != fmt.Sprint(soakShards-len(bodies)) {
		return "the number of missing shards is wrong"
	}
	const limit, least = 5, 3
	if len(bodies) < least {
		return "too few shards"
	}
	if !bytes.Equal(body, record.Greatest(bodies, limit)) {
		return "the body is not the merge of the shards' records"
	}
	return ""
}
