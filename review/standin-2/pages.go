package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// serviceCount services have a server in each of three zones; half of them answer a search.
	serviceCount = 100
	pageItems    = 25
	storeLatency = 5 * time.Millisecond
	// leavingShare of the servers report that they drain, spread over a check-in interval. They go on
	// serving until the end of the round.
	leavingShare  = 0.13
	leavingSpread = 1200 * time.Millisecond
	// downTime is how long the processes of all VMs are down.
	downTime = 300 * time.Millisecond
	// touchTime is stability_window_ms.
	touchTime  = 4 * time.Second
	pageRounds = 10
)

// runPages kills the processes of all VMs while servers begin to drain. The VMs that start read the
// store's entries page by page while these change.
func runPages(cc caseConfig) (broken bool, err error) {
	fl := cc.fl
	fl.store.page, fl.store.latency = pageItems, storeLatency
	if err := startWide(fl); err != nil {
		return false, err
	}
	for round := range pageRounds {
		time.Sleep(2 * time.Second)
		gone, sent := make(map[string]int64), make(map[string]bool)
		back := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() { drainSome(fl, gone) })
		if cc.trouble {
			if back, err = restartAll(fl); err != nil {
				return false, err
			}
		}
		wg.Wait()
		time.Sleep(time.Until(back.Add(touchTime + time.Second)))
		time.Sleep(time.Second)
		searchAll(fl, sent)
		broken = judgePages(fl, round, gone, sent) || broken
		for _, sv := range fl.servers {
			if _, ok := gone[sv.id]; ok {
				fl.store.remove("servers/" + sv.id)
				fl.started++
				sv.id = fmt.Sprintf("i-%s-%s-%d", sv.service, sv.zone, fl.started)
				fl.enter(sv)
			}
		}
	}
	return broken, nil
}

// startWide starts eight VMs and three servers of each service, which run in this process.
func startWide(fl *fleet) error {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var services []string
	for n := range serviceCount {
		services = append(services, fmt.Sprintf("desk-%02d", n))
	}
	for _, service := range services {
		for _, zone := range zones {
			if err := fl.addLocal(service, zone); err != nil {
				return err
			}
		}
	}
	var routes []map[string]any
	for n := range 2 {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-%d", n), "host": "leno12.example", "path_prefix": fmt.Sprintf("/search-%d/", n),
			"route_type": "safe", "timeout_ms": 2500, "target_latency_ms": 500, "priority": 1, "max_attempts": 2, "top_k": 10, "min_shard_ratio": 0.5,
			"gather": services[n*serviceCount/2 : (n+1)*serviceCount/2]})
	}
	fl.manifest(routes, services, 60)
	for n := range 8 {
		fl.addVM(zones[n%len(zones)], zones)
	}
	for _, vm := range fl.vms {
		if err := fl.startVM(vm); err != nil {
			return err
		}
	}
	if !fl.awaitReady(20 * time.Second) {
		return errNotReady
	}
	return nil
}

// addLocal starts a server in this process.
func (fl *fleet) addLocal(service, zone string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fl.started++
	sv := &serverProc{id: fmt.Sprintf("i-%s-%s-%d", service, zone, fl.started), service: service, zone: zone, addr: ln.Addr().String(), slots: 4}
	fl.servers = append(fl.servers, sv)
	fl.enter(sv)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			id := rq.Header.Get("Laburnumvane-Request-Id")
			wr.Header().Set("Laburnumvane-Request-Id", id)
			if target := rq.Header.Get("Laburnumvane-Target-Instance"); target != sv.id {
				wr.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			now := time.Now().UnixMilli()
			fl.note("server: ran %s %s %d", id, sv.id, now)
			fl.mu.Lock()
			fl.runs = append(fl.runs, serverRun{request: id, server: sv.id, at: now})
			fl.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			wr.Header().Set("Laburnumvane-Response-Signature", service+"."+sv.id+"."+id)
			_, _ = wr.Write(records(service))
		}))
	}()
	return nil
}

// drainSome has some servers report that they drain, at most one of a service.
func drainSome(fl *fleet, gone map[string]int64) {
	count := int(leavingShare * float64(len(fl.servers)))
	for _, n := range rand.Perm(serviceCount)[:count] {
		sv := fl.servers[3*n+rand.IntN(3)]
		fl.writeEntry(sv, "draining", 2)
		gone[sv.id] = time.Now().UnixMilli()
		fl.note("store: %s is draining", sv.id)
		time.Sleep(leavingSpread / time.Duration(count))
	}
}

// restartAll kills all VMs and starts them again, and returns when the last one was started.
func restartAll(fl *fleet) (time.Time, error) {
	fl.note("all VMs are killed")
	for _, vm := range fl.vms {
		vm.signal(syscall.SIGKILL)
	}
	for _, vm := range fl.vms {
		<-vm.done
	}
	time.Sleep(downTime)
	for _, vm := range fl.vms {
		if err := fl.startVM(vm); err != nil {
			return time.Time{}, err
		}
	}
	fl.note("all VMs are started")
	return time.Now(), nil
}

// searchAll sends searches to each VM, one after the other.
func searchAll(fl *fleet, sent map[string]bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range fl.vms {
		wg.Go(func() {
			cl := newClient(fl, true)
			for n := range 12 {
				at := cl.send(vm, "GET", fmt.Sprintf("/search-%d/%d", n%2, n), nil, 2500*time.Millisecond)
				mu.Lock()
				sent[at.id] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// judgePages reports whether a request reached a server more than drainTime after the store had
// acknowledged that it drains. All VMs have been in touch since before the searches.
func judgePages(fl *fleet, round int, gone map[string]int64, sent map[string]bool) (broken bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	late := make(map[string]int)
	for _, ru := range fl.runs {
		if at, ok := gone[ru.server]; ok && sent[ru.request] && ru.at-at > drainTime.Milliseconds() {
			late[ru.server+" from "+fl.sentTo[ru.request].name]++
		}
	}
	text, _ := json.Marshal(late)
	line := fmt.Sprintf("round %d: %d servers drain; requests at them later than %d ms: %s", round, len(gone), drainTime.Milliseconds(), text)
	fmt.Println(line)
	_, _ = fmt.Fprintln(fl.record, line)
	return len(late) > 0
}
