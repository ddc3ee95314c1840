package member

import (
	"maps"
	"slices"
	"time"
)

// phase is how far the doubt about a VM has gone.
type phase uint8

const (
	// phaseProbing: it did not answer; others try it.
	phaseProbing phase = iota
	// phaseSuspected: nobody reached it; it is told to refute.
	phaseSuspected
)

// watch is a VM that did not answer a beat.
type watch struct {
	addr        string
	incarnation uint64
	phase       phase
	deadline    time.Duration
	retry       time.Duration
}

func (wa *watch) due() time.Duration {
	return min(wa.deadline, wa.retry)
}

// retarget computes whom this VM beats, if the fleet has changed.
func (ma *Machine) retarget() {
	if ma.versions == ma.table.version && ma.targets != nil {
		return
	}
	ma.versions = ma.table.version
	ma.targets = ma.table.successors(ma.self)
	if ma.targets == nil {
		ma.targets = []*record{}
	}
}

func (ma *Machine) beatGap() time.Duration {
	return ma.cfg.Period / time.Duration(ma.cfg.Rings)
}

// beat sends the regular beats, one after the other round the targets, so that
// they are spread evenly over the period.
func (ma *Machine) beat() {
	if ma.now < ma.nextBeat {
		return
	}
	ma.nextBeat += ma.beatGap()
	if ma.nextBeat <= ma.now {
		ma.nextBeat = ma.now + ma.beatGap()
	}
	ma.retarget()
	if len(ma.targets) == 0 {
		return
	}
	ma.turn = (ma.turn + 1) % len(ma.targets)
	ma.send(ma.targets[ma.turn], purposeBeat, 0)
}

// doubt begins when a VM did not answer a beat.
func (ma *Machine) doubt(addr string) {
	rc, ok := ma.table.byAddr[addr]
	if !ok || !rc.present() || ma.joining {
		return
	}
	if _, ok := ma.watches[addr]; ok {
		return
	}
	ma.watches[addr] = &watch{
		addr:        addr,
		incarnation: rc.Incarnation,
		deadline:    ma.now + ma.cfg.ProbeTimeout,
		retry:       ma.now + ma.cfg.ReprobeEvery,
	}
	ma.probe(rc)
}

// trust ends the doubt: the VM was reached.
func (ma *Machine) trust(addr string) {
	delete(ma.watches, addr)
}

// probe tries a VM by all ways: again, and through helpers. Both carry what is
// held against it, so that it can refute.
func (ma *Machine) probe(rc *record) {
	ma.send(rc, purposeRetry, 0)
	helpers := ma.helpers(rc)
	for _, he := range helpers {
		ma.ask(he, rc)
	}
	if len(helpers) == 0 {
		ma.seekOthers()
	}
}

// seekOthers finds out whether this VM's own link works when nobody is left in
// its data centre to ask: another data centre's answer shows it.
func (ma *Machine) seekOthers() {
	for _, name := range ma.table.names {
		if re, ok := ma.relays[name]; ok {
			ma.relayBeat(re)
		}
	}
}

func (ma *Machine) ask(helper, target *record) {
	id := ma.open(exchange{purpose: purposeAsk, to: target.Addr, deadline: ma.now + ma.cfg.ProbeTimeout})
	ma.do(Ask{Exchange: id, Helper: helper.VM, Target: target.Member})
}

// helpers are VMs of the data centre drawn by lot.
func (ma *Machine) helpers(target *record) []*record {
	var able []*record
	for _, rc := range ma.table.area(ma.self.DataCentre).records {
		if rc != ma.self && rc != target && rc.State() == StateLive {
			able = append(able, rc)
		}
	}
	n := max(0, min(ma.cfg.Helpers, len(able)))
	for i := range n {
		j := i + ma.cfg.Random.IntN(len(able)-i)
		able[i], able[j] = able[j], able[i]
	}
	return able[:n]
}

// watch moves the doubts on.
func (ma *Machine) watch() {
	for _, addr := range slices.Sorted(maps.Keys(ma.watches)) {
		wa := ma.watches[addr]
		rc, ok := ma.table.byAddr[addr]
		if !ok || !rc.present() || rc.Incarnation != wa.incarnation {
			delete(ma.watches, addr)
			continue
		}
		ma.watchOne(wa, rc)
	}
}

func (ma *Machine) watchOne(wa *watch, rc *record) {
	if wa.phase == phaseSuspected && !rc.suspected() {
		delete(ma.watches, wa.addr)
		return
	}
	if ma.now >= wa.deadline {
		ma.conclude(wa, rc)
	}
	if rc.Gone || ma.now < wa.retry {
		return
	}
	wa.retry = ma.now + ma.cfg.ReprobeEvery
	if wa.phase == phaseSuspected {
		ma.probe(rc)
		return
	}
	ma.send(rc, purposeRetry, 0)
}

// conclude is reached when nobody got through in time. If this VM itself hears
// from nobody, the fault is as likely its own: it goes on trying and says
// nothing.
func (ma *Machine) conclude(wa *watch, rc *record) {
	if !ma.hearsOthers() {
		wa.deadline = ma.now + ma.cfg.ProbeTimeout
		return
	}
	if wa.phase == phaseProbing {
		wa.phase = phaseSuspected
		wa.deadline = ma.now + ma.cfg.SuspicionTimeout
		wa.retry = ma.now
		ma.learn(rc.WithSuspicion())
		return
	}
	delete(ma.watches, wa.addr)
	ma.learn(rc.WithGone())
}

// hearsOthers tells whether anyone answered lately. While a VM is watched no
// answer of its own counts, as one would end the watch.
func (ma *Machine) hearsOthers() bool {
	return ma.now-ma.lastAnswer <= ma.cfg.Period+ma.cfg.BeatTimeout
}
