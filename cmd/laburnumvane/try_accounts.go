package main

import (
	"fmt"
	"net/http"
	"time"

	"laburnumvane/platform"
	"laburnumvane/platform/fakes"
)

const (
	// trySmall and tryHot are the keys of two client accounts; tryRemoved is removed from the first.
	trySmall   = "key-of-small"
	tryRemoved = "second-key-of-small"
	tryHot     = "key-of-hot"
	// trySmallRate is the limit of the first account, in requests a second. It admits the requests that
	// wait for a change of the keys.
	trySmallRate = 200
	// tryRate is the limit of the hot account, in requests a second and in its burst.
	tryRate = 10
	// tryHotSeconds is how long the hot account sends tryHotFactor times its limit.
	tryHotSeconds = 2
	tryHotFactor  = 10
)

func tryAccounts(smallKeys ...string) []fakes.Account {
	return []fakes.Account{
		{"name": "small", "api_keys": smallKeys, "rate_per_s": trySmallRate, "burst": trySmallRate},
		{"name": "hot", "api_keys": []string{tryHot}, "rate_per_s": tryRate, "burst": tryRate},
	}
}

// showAccounts adds client accounts, removes a key and sends more with another than its limit.
func (tr *tryRun) showAccounts() {
	tr.site.SetAccounts(tryAccounts(trySmall, tryRemoved))
	tr.key = tryRemoved
	tr.waitForAll(func() bool { return tr.send(fakes.PathLedger+"2f").account == "small" })
	tr.key = trySmall
	tr.sendAndPrint("a request with the key of an account", fakes.PathLedger+"2f")
	tr.key = ""
	tr.sendAndPrint("a request without a key", fakes.PathLedger+"2f")
	tr.site.SetAccounts(tryAccounts(trySmall))
	start := time.Now()
	tr.key = tryRemoved
	tr.waitForAll(func() bool { return tr.send(fakes.PathLedger+"2f").status == http.StatusUnauthorized })
	fmt.Fprintf(tr.out, "a key is removed on all VMs after %v\n", time.Since(start).Round(time.Millisecond))
	tr.sendAndPrint("a request with the removed key", fakes.PathLedger+"2f")
	tr.showHotAccount()
}

// showHotAccount sends several times the limit of an account, and at times a request of another.
func (tr *tryRun) showHotAccount() {
	statuses, others, othersServed := map[int]int{}, 0, 0
	retryAfter := ""
	for i := range tryHotSeconds * tryHotFactor * tryRate {
		tr.key = tryHot
		an := tr.send(fakes.PathLedger + "2f")
		statuses[an.status]++
		if an.status == http.StatusTooManyRequests {
			retryAfter = an.retryAfter
		}
		if i%tryHotFactor == 0 {
			tr.key = trySmall
			others++
			if tr.send(fakes.PathLedger+"2f").status == http.StatusOK {
				othersServed++
			}
		}
		time.Sleep(time.Second / (tryHotFactor * tryRate))
	}
	fmt.Fprintf(tr.out, "an account with a limit of %d requests a second (burst %d) sends %d in about %d s: %d served, %d refused with 429, the last with Retry-After %s\n",
		tryRate, tryRate, tryHotSeconds*tryHotFactor*tryRate, tryHotSeconds, statuses[http.StatusOK], statuses[http.StatusTooManyRequests], retryAfter)
	fmt.Fprintf(tr.out, "another account meanwhile: %d of %d served\n", othersServed, others)
}

// waitForAll waits until a condition holds for each VM in turn; each check sends one request to the
// next VM.
func (tr *tryRun) waitForAll(ok func() bool) {
	passed := 0
	tr.waitUntil(func() bool {
		passed++
		if !ok() {
			passed = 0
		}
		return passed >= len(tr.vms)
	})
}

// accountSeen returns the account that servers got with a request, or an empty string.
func (tr *tryRun) accountSeen(id string) string {
	for _, header := range tr.site.Headers(id) {
		return header.Get(platform.HeaderAccount)
	}
	return ""
}
