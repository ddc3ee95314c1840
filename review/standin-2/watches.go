package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

var errNotReady = errors.New("the VMs did not become ready")

const (
	// drainTime is the bound drain_ms.
	drainTime = 3 * time.Second
	// The store cuts the watches that wait cutCount times, one cutInterval after the other. A server
	// is removed leaveAfter the first cut.
	cutCount    = 6
	cutInterval = 900 * time.Millisecond
	leaveAfter  = 2 * time.Second
	// serveOn is how long a server that was removed goes on serving.
	serveOn = 10 * time.Second
	// calmTime precedes each round; it exceeds stability_window_ms.
	calmTime   = 6 * time.Second
	rounds     = 3
	requestGap = 40 * time.Millisecond
	deadline   = 1500 * time.Millisecond
)

// runCutWatches removes servers while the store cuts watches that wait. The entry of a server that
// leaves is removed without having been draining; the server goes on serving.
func runCutWatches(cc caseConfig) (broken bool, err error) {
	fl := cc.fl
	if err := startSmall(fl); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, vm := range fl.vms {
		for range 2 {
			wg.Go(func() { sendUntil(fl, vm, stop) })
		}
	}
	gone := make(map[string]int64)
	for range rounds {
		time.Sleep(calmTime)
		if cc.trouble {
			go cutWatches(fl)
		}
		time.Sleep(leaveAfter)
		sv := fl.servers[rand.IntN(len(fl.servers))]
		fl.store.remove("servers/" + sv.id)
		gone[sv.id] = time.Now().UnixMilli()
		fl.note("store: %s is removed", sv.id)
		time.Sleep(serveOn)
		if err := fl.replace(sv); err != nil {
			return false, err
		}
	}
	close(stop)
	wg.Wait()
	return judgeDrain(fl, gone), nil
}

// startSmall starts a deployment of eight VMs and a service with three servers in each of three zones.
func startSmall(fl *fleet) error {
	const service = "portal"
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for _, zone := range zones {
		for range 3 {
			if _, err := fl.addServer(service, zone, 6, 5*time.Millisecond); err != nil {
				return err
			}
		}
	}
	fl.manifest([]map[string]any{{"name": "r-1", "host": "leno12.example", "path_prefix": "/fetch/", "route_type": "safe",
		"timeout_ms": 1500, "target_latency_ms": 250, "priority": 2, "service": service, "max_attempts": 2}}, []string{service}, 51)
	for n := range 8 {
		fl.addVM(zones[n%len(zones)], zones)
	}
	for _, vm := range fl.vms {
		if err := fl.startVM(vm); err != nil {
			return err
		}
	}
	if !fl.awaitReady(15 * time.Second) {
		return errNotReady
	}
	return nil
}

func cutWatches(fl *fleet) {
	for range cutCount {
		fl.note("store: waiting watches are cut")
		fl.store.cutWatches()
		time.Sleep(cutInterval)
	}
}

func sendUntil(fl *fleet, vm *vmProc, stop <-chan struct{}) {
	cl := newClient(fl, true)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(requestGap):
			cl.send(vm, "GET", fmt.Sprintf("/fetch/%d", n), nil, deadline)
		}
	}
}

// judgeDrain reports whether a request reached a server more than drainTime after the store had
// acknowledged the removal of its entry. All VMs are in touch all the while.
func judgeDrain(fl *fleet, gone map[string]int64) (broken bool) {
	fl.mu.Lock()
	runs := fl.runs
	fl.mu.Unlock()
	for server, at := range gone {
		count, last := 0, int64(0)
		for _, ru := range runs {
			if ru.server == server && ru.at > at {
				last = max(last, ru.at-at)
				if ru.at-at > drainTime.Milliseconds() {
					count++
				}
			}
		}
		line := fmt.Sprintf("%s: last request %d ms after its removal; %d later than %d ms", server, last, count, drainTime.Milliseconds())
		fmt.Println(line)
		fl.note("%s", line)
		broken = broken || count > 0
	}
	return broken
}
