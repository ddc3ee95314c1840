package main

import (
	"syscall"
	"time"
)

const (
	// frozenVMs is the number of VMs, and frozenRate the searches a second to each.
	frozenVMs  = 8
	frozenRate = 28
	// frozenTime is how long a VM stands still; all servers of frozenShards shards turn cold frozenBefore after
	// it stopped.
	frozenTime   = 3 * time.Second
	frozenBefore = 1500 * time.Millisecond
	frozenShards = 3
	// frozenTimes is the number of disruptions, and frozenBetween the time between the starts of two.
	frozenTimes   = 6
	frozenBetween = 8 * time.Second
)

// caseFrozen: servers turn cold and say so in their entries, while a VM is frozen. They must not get more than
// their bound once it wakes.
func caseFrozen(rec *recorder, trouble bool) int {
	fl, err := startColdFleet(frozenVMs)
	if fl != nil {
		defer fl.close()
	}
	if err != nil {
		return rec.fail(err)
	}
	rec.line("traffic starts")
	end := time.Now().Add(2*time.Second + frozenTimes*frozenBetween)
	clients := fl.sendSearches(frozenRate, end)
	time.Sleep(2 * time.Second)
	var periods []coldPeriod
	for n := range frozenTimes {
		next := time.Now().Add(frozenBetween)
		if trouble {
			periods = append(periods, frozenDisruption(rec, fl, fl.vms[n%len(fl.vms)])...)
		}
		time.Sleep(time.Until(next))
	}
	time.Sleep(time.Until(end.Add(time.Second)))
	rec.traffic(clients, fl.Events())
	return coldJudge(rec, clients, fl.Events(), periods)
}

// frozenDisruption freezes a VM. All servers of some shards turn cold meanwhile.
func frozenDisruption(rec *recorder, fl *fleet, v *vm) (periods []coldPeriod) {
	thaw := time.Now().Add(frozenTime)
	rec.line("%s freezes", v.name)
	_ = v.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(frozenBefore)
	for _, up := range fl.servers[:frozenShards*len(fl.zones)] {
		periods = append(periods, fl.turnCold(rec, up))
	}
	time.Sleep(time.Until(thaw))
	rec.line("%s wakes", v.name)
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
	return periods
}

// turnCold makes a running server cold, and enters that in the store at once.
func (fl *fleet) turnCold(rec *recorder, up *upstream) coldPeriod {
	now := time.Now()
	up.mu.Lock()
	up.coldTill = now.Add(coldWarmUp)
	up.mu.Unlock()
	fl.register(up)
	rec.line("%s turns cold for %s", up.id, coldWarmUp)
	return coldPeriod{id: up.id, from: now, to: now.Add(coldWarmUp)}
}
