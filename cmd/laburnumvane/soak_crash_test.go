package main

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"laburnumvane/platform"
	"laburnumvane/platform/stand"
)

const (
	// soakCrasher is the caller under whose request servers end, after soakCrashRun, to be
	// back after soakCrashBack.
	soakCrasher   = "crasher/1"
	soakCrashPath = stand.PathSearch + "crash"
	soakCrashRun  = 20 * time.Millisecond
	soakCrashBack = time.Second
	// soakKnown is how soon after all is well every VM must know of such a request, and
	// soakLate how many arrivals may reach servers after that.
	soakKnown = 4 * time.Second
	soakLate  = 3
)

// withoutLinks takes the links before servers away, which would go on taking connections to
// those that ended.
func (so *soak) withoutLinks() {
	for sv := range so.serverLinks {
		so.site.Enter(sv, "ready", 3)
	}
	clear(so.serverLinks)
	so.links = nil
	for _, vm := range so.vms {
		so.links = append(so.links, vm.store)
	}
}

// crashes has servers end under one caller's request.
func (so *soak) crashes() {
	so.crash = so.site.CrashOn(func(rq *http.Request) bool { return rq.UserAgent() == soakCrasher }, soakCrashRun, soakCrashBack)
}

// crashNow sends that request to a VM.
func (so *soak) crashNow(vm *soakVM) {
	client := &http.Client{Timeout: soakPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	rq, err := http.NewRequest(http.MethodGet, "http://"+vm.place.ClientAddr+soakCrashPath, nil)
	if err != nil {
		so.broken("%v", err)
		return
	}
	rq.Host = stand.Host
	rq.Header.Set("User-Agent", soakCrasher)
	rq.Header.Set(platform.HeaderRequestID, nextSoakID())
	rq.Header.Set(platform.HeaderDeadline, "1500")
	rs, err := client.Do(rq)
	if err != nil {
		// The VM may be down.
		return
	}
	_ = rs.Body.Close()
	if rs.StatusCode == http.StatusOK {
		so.broken("a request under which servers end was answered")
	}
}

// keepCrashing has the request come again and again, at any VM.
func (so *soak) keepCrashing(wait func() time.Duration) {
	for n := 0; !so.done.Load(); n++ {
		time.Sleep(wait())
		so.crashNow(so.vms[n%len(so.vms)])
	}
}

// crashesEnd sees that servers end under the request no longer, now that all is well.
func (so *soak) crashesEnd() {
	time.Sleep(soakKnown)
	before := len(so.crash.Reached())
	var all sync.WaitGroup
	for _, vm := range so.vms {
		all.Add(1)
		go func() {
			defer all.Done()
			for range soakLate {
				so.crashNow(vm)
			}
		}()
	}
	all.Wait()
	late := map[string]bool{}
	for _, re := range so.crash.Reached()[before:] {
		late[re.ID] = true
	}
	so.t.Logf("%d servers ended", len(so.crash.Ended()))
	if len(late) > soakLate {
		so.broken("%d arrivals of a request under which servers end reached servers later than %v", len(late), soakKnown)
	}
}

// blames tells whether an answer says that a request crashes servers.
func blames(body []byte) bool { return strings.Contains(string(body), `"crashesServers"`) }
