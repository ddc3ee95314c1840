package member

import (
	"maps"
	"slices"
	"time"
)

// phase is the stage of the probing of a VM.
type phase uint8

const (
	// phaseProbing: the VM did not answer a beat; helpers and direct retries try to reach it.
	phaseProbing phase = iota
	// phaseSuspected: nobody reached the VM; it is suspected and may refute.
	phaseSuspected
)

// probing tracks a VM that did not answer a beat until it is reached, refutes or is declared gone.
type probing struct {
	addr        string
	incarnation uint64
	phase       phase
	deadline    time.Duration
	retry       time.Duration
}

func (pb *probing) due() time.Duration {
	return min(pb.deadline, pb.retry)
}

// updateTargets recomputes the VMs that this VM sends beats to, if the membership has changed.
func (ma *Machine) updateTargets() {
	if ma.targetsVersion == ma.table.version && ma.targets != nil {
		return
	}
	ma.targetsVersion = ma.table.version
	ma.targets = ma.table.successors(ma.self)
	if ma.targets == nil {
		ma.targets = []*record{}
	}
}

func (ma *Machine) beatInterval() time.Duration {
	return ma.cfg.Period / time.Duration(ma.cfg.Rings)
}

// sendNextBeat sends the regular beats when they are due, to the targets in turn and spread evenly
// over the period.
func (ma *Machine) sendNextBeat() {
	if ma.now < ma.nextBeat {
		return
	}
	ma.nextBeat += ma.beatInterval()
	if ma.nextBeat <= ma.now {
		ma.nextBeat = ma.now + ma.beatInterval()
	}
	ma.updateTargets()
	if len(ma.targets) == 0 {
		return
	}
	ma.lastTarget = (ma.lastTarget + 1) % len(ma.targets)
	ma.send(ma.targets[ma.lastTarget], purposeBeat, 0)
}

// startProbing is called when a VM did not answer a beat. A joining VM probes none.
func (ma *Machine) startProbing(addr string) {
	rc, ok := ma.table.byAddr[addr]
	if !ok || !rc.onRing() || ma.joining {
		return
	}
	if _, ok := ma.probings[addr]; ok {
		return
	}
	ma.probings[addr] = &probing{
		addr:        addr,
		incarnation: rc.Incarnation,
		deadline:    ma.now + ma.cfg.ProbeTimeout,
		retry:       ma.now + ma.cfg.ReprobeEvery,
	}
	ma.sendProbes(rc)
}

// stopProbing is called when a VM was reached.
func (ma *Machine) stopProbing(addr string) {
	delete(ma.probings, addr)
}

// sendProbes tries to reach a VM directly and through helpers. Both probes carry its state as known
// here, so that it can refute a suspicion.
func (ma *Machine) sendProbes(rc *record) {
	ma.send(rc, purposeRetry, 0)
	helpers := ma.pickHelpers(rc)
	for _, he := range helpers {
		ma.askHelper(he, rc)
	}
	if len(helpers) == 0 {
		ma.contactOtherDataCentres()
	}
}

// contactOtherDataCentres sends relay beats when no helper is left in this data centre: an answer
// from another data centre shows that this VM's own network works.
func (ma *Machine) contactOtherDataCentres() {
	for _, name := range ma.table.dcNames {
		if re, ok := ma.relays[name]; ok {
			ma.sendRelayBeat(re)
		}
	}
}

func (ma *Machine) askHelper(helper, target *record) {
	id := ma.openExchange(exchange{purpose: purposeHelpRequest, to: target.Addr, deadline: ma.now + ma.cfg.ProbeTimeout})
	ma.emit(Ask{Exchange: id, Helper: helper.VM, Target: target.Member})
}

// pickHelpers returns live VMs of the data centre, picked at random.
func (ma *Machine) pickHelpers(target *record) []*record {
	var eligible []*record
	for _, rc := range ma.table.dataCentre(ma.self.DataCentre).records {
		if rc != ma.self && rc != target && rc.State() == StateLive {
			eligible = append(eligible, rc)
		}
	}
	n := max(0, min(ma.cfg.Helpers, len(eligible)))
	for i := range n {
		j := i + ma.cfg.Random.IntN(len(eligible)-i)
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	return eligible[:n]
}

// checkProbings advances all probings whose deadline or retry is due.
func (ma *Machine) checkProbings() {
	for _, addr := range slices.Sorted(maps.Keys(ma.probings)) {
		pb := ma.probings[addr]
		rc, ok := ma.table.byAddr[addr]
		if !ok || !rc.onRing() || rc.Incarnation != pb.incarnation {
			delete(ma.probings, addr)
			continue
		}
		ma.checkProbing(pb, rc)
	}
}

func (ma *Machine) checkProbing(pb *probing, rc *record) {
	if pb.phase == phaseSuspected && !rc.suspected() {
		delete(ma.probings, pb.addr)
		return
	}
	if ma.now >= pb.deadline {
		ma.handleDeadline(pb, rc)
	}
	if rc.Gone || ma.now < pb.retry {
		return
	}
	pb.retry = ma.now + ma.cfg.ReprobeEvery
	if pb.phase == phaseSuspected {
		ma.sendProbes(rc)
		return
	}
	ma.send(rc, purposeRetry, 0)
}

// handleDeadline suspects a VM that nobody reached in time, or declares it gone if it is suspected
// already. If this VM gets no answers from any VM, its own network is as likely at fault: it then
// extends the deadline and reports nothing.
func (ma *Machine) handleDeadline(pb *probing, rc *record) {
	if !ma.recentlyAnswered() {
		pb.deadline = ma.now + ma.cfg.ProbeTimeout
		return
	}
	if pb.phase == phaseProbing {
		pb.phase = phaseSuspected
		pb.deadline = ma.now + ma.cfg.SuspicionTimeout
		pb.retry = ma.now
		ma.mergeState(rc.WithSuspicion())
		return
	}
	delete(ma.probings, pb.addr)
	ma.mergeState(rc.WithGone())
}

// recentlyAnswered reports whether any VM answered recently. An answer of a VM that is probed
// cannot count here, because it would end its probing.
func (ma *Machine) recentlyAnswered() bool {
	return ma.now-ma.lastAnswer <= ma.cfg.Period+ma.cfg.BeatTimeout
}
