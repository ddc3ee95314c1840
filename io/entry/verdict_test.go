package entry

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/io/inner"
)

func TestVerdictsBetweenVMs(t *testing.T) {
	is := is.New(t)
	for here := fanout.Served; here <= fanout.Unsent; here++ {
		is.Equal(verdictOf(verdictTo(here)), here)
	}
}

// A VM of another version leaves a verdict out, or sends one that this one does
// not know. Taken for "not sent", a request that must run at most once would be
// sent again.
func TestUnknownVerdictMayHaveRun(t *testing.T) {
	is := is.New(t)
	left := &inner.JoinPart{}
	is.Equal(verdictOf(left.GetVerdict()), fanout.Lost)
	is.Equal(verdictOf(inner.Verdict(99)), fanout.Lost)
}
