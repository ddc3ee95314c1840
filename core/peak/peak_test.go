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
	is.Equal(pk.Most(time.Second), 0)
	pk.Note(time.Second, 3)
	pk.Note(2*time.Second, 1)
	is.Equal(pk.Most(4*time.Second), 3)
	is.Equal(pk.Most(9*time.Second), 3)
	pk.Note(9*time.Second, 2)
	is.Equal(pk.Most(11*time.Second), 2)
	is.Equal(pk.Most(16*time.Second), 0)
	pk.Note(time.Hour, 4)
	is.Equal(pk.Most(time.Hour+time.Second), 4)
	is.Equal(pk.Most(2*time.Hour), 0)
}
