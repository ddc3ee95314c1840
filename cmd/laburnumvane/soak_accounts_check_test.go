package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumvane/core/acct"
	"laburnumvane/platform"
)

const (
	// soakWindow, soakOverage and soakSlack are the limits' bound by the requirements: at most
	// (rate x window + burst) x overage + slack requests in any window.
	soakWindow  = 5 * time.Second
	soakOverage = 1.1
	soakSlack   = 20
	// soakRefusedMost is how many requests of an account within its limit may get 429 in a run.
	soakRefusedMost = 5
)

// check compares what servers got and VMs logged with what clients sent.
func (sa *soakAccounts) check() {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	firstRun := map[string]time.Time{}
	for _, sv := range sa.so.site.AllServers() {
		for _, header := range sv.Headers() {
			id := header.Get(platform.HeaderRequestID)
			sr, ok := sa.sent[id]
			if !ok || !slices.Equal(header.Values(platform.HeaderAccount), []string{sr.account}) {
				sa.so.fail("%s got %s with account %q, sent with %+v", sv.ID, id, header.Values(platform.HeaderAccount), sr)
			}
		}
		for _, ru := range sv.Runs() {
			if sr := sa.sent[ru.ID]; sr != nil && sr.revoked {
				sa.so.fail("%s ran %s, whose key was removed long before", sv.ID, ru.ID)
			}
			if at, ok := firstRun[ru.ID]; !ok || ru.At.Before(at) {
				firstRun[ru.ID] = ru.At
			}
		}
		if strings.Contains(fmt.Sprint(sv.RequestLines(), sv.Headers()), soakKeyMark) {
			sa.so.fail("%s got a key", sv.ID)
		}
	}
	for _, log := range sa.so.logs {
		if _, after, ok := strings.Cut(log.String(), soakKeyMark); ok {
			sa.so.fail("a key is logged: %.80q", after)
		}
	}
	sa.so.t.Logf("%d keys were used; answers with 429: %v", len(sa.keys), sa.refused)
	for _, account := range []string{soakOpen, soakRotating, soakSteady, soakNear} {
		if n := sa.refused[account]; n > soakRefusedMost {
			sa.so.fail("%d requests of %s, which keeps within its limit, got 429", n, account)
		}
	}
	sa.checkLimits(firstRun)
}

// checkLimits checks the number of requests of each account in all windows. A request counts once, when
// a server runs it first.
func (sa *soakAccounts) checkLimits(firstRun map[string]time.Time) {
	low := sa.limited()
	sa.lowered = 0
	high := sa.limited()
	for i, ac := range high {
		var all, late []time.Time
		for id, at := range firstRun {
			if sr := sa.sent[id]; sr != nil && sr.account == ac.Name {
				all = append(all, at)
				if at.After(sa.lowFrom) {
					late = append(late, at)
				}
			}
		}
		sa.checkWindows(&ac, all)
		sa.checkWindows(&low[i], late)
	}
}

func (sa *soakAccounts) checkWindows(ac *acct.Account, runs []time.Time) {
	slices.SortFunc(runs, time.Time.Compare)
	bound := (ac.Rate*soakWindow.Seconds()+ac.Burst)*soakOverage + soakSlack
	most, first := 0, 0
	for i, at := range runs {
		for at.Sub(runs[first]) >= soakWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	sa.so.t.Logf("%s, limit %v: %d requests ran, at most %d in a window, %.0f are allowed", ac.Name, ac.Rate, len(runs), most, bound)
	if float64(most) > bound {
		sa.so.fail("%s: %d requests ran in a window, %.0f are allowed", ac.Name, most, bound)
	}
}
