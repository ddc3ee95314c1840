package entry

import (
	"laburnumvane/core/fanout"
	"laburnumvane/io/inner"
)

// verdictPair maps the verdict on an attempt to its name in the protocol between VMs.
type verdictPair struct {
	local fanout.Verdict
	wire  inner.Verdict
}

func verdicts() [5]verdictPair {
	return [5]verdictPair{
		{fanout.Served, inner.Verdict_SERVED},
		{fanout.Failed, inner.Verdict_FAILED},
		{fanout.Refused, inner.Verdict_REFUSED},
		{fanout.Elsewhere, inner.Verdict_ELSEWHERE},
		{fanout.Unsent, inner.Verdict_UNSENT},
	}
}

// verdictToWire returns the protocol's name of a verdict.
func verdictToWire(local fanout.Verdict) inner.Verdict {
	for _, vp := range verdicts() {
		if vp.local == local {
			return vp.wire
		}
	}
	return inner.Verdict_LOST
}

// verdictFromWire returns the verdict for a name of the protocol. An unknown name counts as
// lost, because a request that may have run must not be sent again.
func verdictFromWire(wire inner.Verdict) fanout.Verdict {
	for _, vp := range verdicts() {
		if vp.wire == wire {
			return vp.local
		}
	}
	return fanout.Lost
}
