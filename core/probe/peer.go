package probe

import "time"

const (
	// meanDivisor and deviationDivisor are the weights of the newest latency in its moving average
	// and in that of its deviation, as for TCP's retransmission timer.
	meanDivisor      = 8
	deviationDivisor = 4
	// deviations is how many deviations above the mean an answer is overdue.
	deviations = 4
	// silentEvidence is the number of observations that make a VM count as silent.
	silentEvidence = 2
	// frozenEvidence is the same if connections to it still open: a busy VM may miss one probe.
	frozenEvidence = 3
	// maxBackoff bounds the doublings of the probe interval.
	maxBackoff = 6
	// silentPerInterval is how many silent VMs are probed within one interval. With more, each is
	// probed less often, so that the cost does not grow with the number of VMs.
	silentPerInterval = 8
)

// latency is a moving average with its deviation.
type latency struct {
	mean, deviation time.Duration
}

func (la *latency) observe(took time.Duration) {
	if la.mean == 0 {
		la.mean, la.deviation = took, took/2
		return
	}
	diff := took - la.mean
	la.mean += diff / meanDivisor
	la.deviation += (max(diff, -diff) - la.deviation) / deviationDivisor
}

// limit returns the time after which an answer is overdue, at least least.
func (la *latency) limit(least time.Duration) time.Duration {
	return max(least, la.mean+deviations*la.deviation)
}

// peer is what is known of one VM.
type peer struct {
	vm VM
	// inFlight counts the requests that were sent and not answered, silentSince is when the VM
	// last answered or got the first of them.
	inFlight    int
	silentSince time.Duration
	// lastAnswerAt is when it last answered anything; answered is set once it has.
	lastAnswerAt time.Duration
	answered     bool
	// wantedAt is when a request last considered the VM.
	wantedAt time.Duration
	replies  latency
	probes   latency
	connects latency
	// probing is set while a probe is under way. notBefore is the earliest time of the next one.
	probing   bool
	notBefore time.Duration
	// evidence counts the observations since the last answer that the VM is silent. frozen is set
	// if the last probe opened a connection. failures counts the failed probes since then.
	evidence int
	failures int
	frozen   bool
	silent   bool
	// gaveUp is set after the requests in flight were given up.
	gaveUp bool
}

// recordAnswer records that the VM answered.
func (pe *peer) recordAnswer(now time.Duration) {
	pe.lastAnswerAt, pe.answered, pe.silentSince = now, true, now
	pe.evidence, pe.failures = 0, 0
	pe.silent, pe.frozen, pe.gaveUp = false, false, false
}

// doubt adds an observation and decides whether the VM is silent.
func (pe *peer) doubt(frozen bool) {
	pe.evidence++
	pe.frozen = frozen
	needed := silentEvidence
	if frozen {
		needed = frozenEvidence
	}
	pe.silent = pe.silent || pe.evidence >= needed
}

// backoff returns the wait until the next probe, if the given number of VMs are silent.
func (pe *peer) backoff(li Limits, silent int) time.Duration {
	if !pe.silent {
		return 0
	}
	wait := min(li.ProbeInterval<<min(max(pe.failures-1, 0), maxBackoff), li.MaxProbeInterval)
	return wait * time.Duration(1+silent/silentPerInterval)
}

// probeAt returns when the VM is to be probed; ok is false if not before the next event.
func (pe *peer) probeAt(li Limits) (at time.Duration, ok bool) {
	switch {
	case pe.probing:
		return 0, false
	case pe.evidence > 0:
		return pe.notBefore, pe.inFlight > 0 || pe.notBefore < pe.wantedAt+wantedFor
	case pe.inFlight > 0:
		return max(pe.notBefore, pe.silentSince+pe.replies.limit(li.MinReply)), true
	}
	return 0, false
}

// giveUpAt returns when the requests in flight are given up; ok is false if they are not.
func (pe *peer) giveUpAt(li Limits) (at time.Duration, ok bool) {
	if !pe.silent || pe.gaveUp || pe.inFlight == 0 {
		return 0, false
	}
	if pe.frozen {
		return pe.silentSince + li.GiveUpFrozen, true
	}
	return pe.silentSince + li.GiveUpUnreachable, true
}
