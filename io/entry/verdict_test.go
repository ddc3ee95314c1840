package entry

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/io/inner"
)

func TestVerdictsSurviveTheWire(t *testing.T) {
	is := is.New(t)
	for verdict := fanout.Served; verdict <= fanout.Unsent; verdict++ {
		is.Equal(verdictFromWire(verdictToWire(verdict)), verdict)
	}
}

// A VM of another version may leave out a verdict or send one that this version does not know.
// If it were read as "not sent", a request that may run at most once would be sent again.
func TestUnknownVerdictCountsAsLost(t *testing.T) {
	is := is.New(t)
	missing := &inner.JoinPart{}
	is.Equal(verdictFromWire(missing.GetVerdict()), fanout.Lost)
	is.Equal(verdictFromWire(inner.Verdict(99)), fanout.Lost)
}
