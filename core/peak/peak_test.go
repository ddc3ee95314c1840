package peak_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/peak"
)

func TestPeak(t *testing.T) {
	is := is.New(t)
	pk := peak.Peak{Span: 10 * time.Second}
	is.Equal(pk.Max(time.Second), 0)
	pk.Record(time.Second, 3)
	pk.Record(2*time.Second, 1)
	is.Equal(pk.Max(4*time.Second), 3)
	is.Equal(pk.Max(9*time.Second), 3)
	pk.Record(9*time.Second, 2)
	is.Equal(pk.Max(11*time.Second), 2)
	is.Equal(pk.Max(16*time.Second), 0)
	pk.Record(time.Hour, 4)
	is.Equal(pk.Max(time.Hour+time.Second), 4)
	is.Equal(pk.Max(2*time.Hour), 0)
}
