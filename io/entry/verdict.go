package entry

import (
	"laburnumvane/core/fanout"
	"laburnumvane/io/inner"
)

// verdict is what an attempt came to, with its name between VMs.
type verdict struct {
	here  fanout.Verdict
	there inner.Verdict
}

func verdicts() [5]verdict {
	return [5]verdict{
		{fanout.Served, inner.Verdict_SERVED},
		{fanout.Failed, inner.Verdict_FAILED},
		{fanout.Refused, inner.Verdict_REFUSED},
		{fanout.Elsewhere, inner.Verdict_ELSEWHERE},
		{fanout.Unsent, inner.Verdict_UNSENT},
	}
}

// verdictTo is the name between VMs.
func verdictTo(here fanout.Verdict) inner.Verdict {
	for _, ve := range verdicts() {
		if ve.here == here {
			return ve.there
		}
	}
	return inner.Verdict_LOST
}

// verdictOf reads the name. One that is not known counts as lost: a request that
// may have run must not be sent again.
func verdictOf(there inner.Verdict) fanout.Verdict {
	for _, ve := range verdicts() {
		if ve.there == there {
			return ve.here
		}
	}
	return fanout.Lost
}
