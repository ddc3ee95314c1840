package edge

import (
	"encoding/binary"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/poison"
	"laburnumvane/io/meter"
)

func update(n int, st poison.State) poison.Update {
	var up poison.Update
	binary.BigEndian.PutUint64(up.Fingerprint[:], uint64(n)+1)
	up.State = st
	return up
}

// The store is away while servers end, and hundreds of requests are suspected for it. Those
// that are blocked must be told first once it is back: the others would crash no server.
func TestBlockedRequestsAreSharedFirst(t *testing.T) {
	is := is.New(t)
	sh := newSharer(&Edge{meter: meter.New()})
	for n := range 2 * shareWaiting {
		sh.add(update(n, poison.Suspect))
	}
	const late = 1_000_000
	sh.add(update(late, poison.Blocked))
	is.Equal(len(sh.waiting), shareWaiting+1)
	is.Equal(sh.eg.meter.Value(meter.Poison, "notShared"), int64(shareWaiting))
	ups := sh.take()
	is.Equal(len(ups), shareMost)
	is.Equal(ups[0], update(late, poison.Blocked))
}

// A write fails, and meanwhile a server answers one of its requests: what is written then is
// the newer word.
func TestFailedWriteTakesNothingBack(t *testing.T) {
	is := is.New(t)
	sh := newSharer(&Edge{meter: meter.New()})
	sh.add(update(1, poison.Blocked))
	sh.add(update(2, poison.Blocked))
	ups := sh.take()
	is.Equal(len(ups), 2)
	newer := update(1, poison.Clear)
	newer.Cleared = true
	sh.add(newer)
	sh.putBack(ups)
	is.Equal(len(sh.waiting), 2)
	is.True(sh.waiting[newer.Fingerprint].Cleared)
	is.Equal(sh.waiting[update(2, poison.Blocked).Fingerprint].State, poison.Blocked)
}
