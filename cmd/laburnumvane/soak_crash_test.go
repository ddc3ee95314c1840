package main

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"laburnumvane/platform"
	"laburnumvane/platform/fakes"
)

const (
	// soakCrasher is the User-Agent of the requests that crash servers. A server crashes
	// soakCrashDelay after such a request arrives and is back after soakCrashRestart.
	soakCrasher      = "crasher/1"
	soakCrashPath    = fakes.PathSearch + "crash"
	soakCrashDelay   = 20 * time.Millisecond
	soakCrashRestart = time.Second
	// soakCrashKnown is the time after recovery within which every VM must know of such a
	// request. After it, at most soakLateMost of these requests may reach servers.
	soakCrashKnown = 4 * time.Second
	soakLateMost   = 3
)

// removeServerLinks removes the links in front of servers, which would keep accepting connections for
// servers that have crashed.
func (so *soak) removeServerLinks() {
	for sv := range so.serverLinks {
		so.site.PutEntry(sv, "ready", 3)
	}
	clear(so.serverLinks)
	so.links = nil
	for _, vm := range so.vms {
		so.links = append(so.links, vm.store)
	}
}

// crashServersOnRequest makes servers crash on the requests of soakCrasher.
func (so *soak) crashServersOnRequest() {
	so.crash = so.site.CrashOn(func(rq *http.Request) bool { return rq.UserAgent() == soakCrasher }, soakCrashDelay, soakCrashRestart)
}

// sendCrashing sends a request that crashes servers to a VM.
func (so *soak) sendCrashing(vm *soakVM) {
	client := &http.Client{Timeout: soakRequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	rq, err := http.NewRequest(http.MethodGet, "http://"+vm.place.ClientAddr+soakCrashPath, nil)
	if err != nil {
		so.fail("%v", err)
		return
	}
	rq.Host = fakes.Host
	rq.Header.Set("User-Agent", soakCrasher)
	rq.Header.Set(platform.HeaderRequestID, nextSoakID())
	rq.Header.Set(platform.HeaderDeadline, "1500")
	so.accounts.authorize(rq, soakOpen)
	rs, err := client.Do(rq)
	if err != nil {
		// The VM may be down.
		return
	}
	_ = rs.Body.Close()
	if rs.StatusCode == http.StatusOK {
		so.fail("a request that crashes servers was answered")
	}
}

// repeatCrashing sends the crashing request to the VMs in turn until the run is done.
func (so *soak) repeatCrashing(wait func() time.Duration) {
	for n := 0; !so.done.Load(); n++ {
		time.Sleep(wait())
		so.sendCrashing(so.vms[n%len(so.vms)])
	}
}

// checkCrashesEnd checks, after recovery, that the crashing request hardly reaches servers any more.
func (so *soak) checkCrashesEnd() {
	time.Sleep(soakCrashKnown)
	before := len(so.crash.Requests())
	var all sync.WaitGroup
	for _, vm := range so.vms {
		all.Add(1)
		go func() {
			defer all.Done()
			for range soakLateMost {
				so.sendCrashing(vm)
			}
		}()
	}
	all.Wait()
	reached := map[string]bool{}
	for _, re := range so.crash.Requests()[before:] {
		reached[re.ID] = true
	}
	so.t.Logf("%d servers crashed", len(so.crash.CrashTimes()))
	if len(reached) > soakLateMost {
		so.fail("%d requests that crash servers reached servers later than %v after recovery", len(reached), soakCrashKnown)
	}
}

// reportsCrashingRequest reports whether an answer gives as its reason that the request crashes servers.
func reportsCrashingRequest(body []byte) bool {
	return strings.Contains(string(body), `"crashesServers"`)
}
