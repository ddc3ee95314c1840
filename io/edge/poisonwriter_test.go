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

// While the store is down, servers crash and hundreds of requests become suspect. When the
// store is back, blocked requests must be written first: the others do not crash servers.
func TestBlockedRequestsAreWrittenFirst(t *testing.T) {
	is := is.New(t)
	pw := newPoisonWriter(&Edge{meter: meter.New()})
	for n := range 2 * maxPoisonPending {
		pw.add(update(n, poison.Suspect))
	}
	const late = 1_000_000
	pw.add(update(late, poison.Blocked))
	is.Equal(len(pw.pending), maxPoisonPending+1)
	is.Equal(pw.eg.meter.Value(meter.Poison, "notShared"), int64(maxPoisonPending))
	ups := pw.nextBatch()
	is.Equal(len(ups), maxPoisonBatch)
	is.Equal(ups[0], update(late, poison.Blocked))
}

// A write fails, and meanwhile a server answers one of its requests: the retry must write the
// newer state.
func TestRequeueKeepsNewerUpdates(t *testing.T) {
	is := is.New(t)
	pw := newPoisonWriter(&Edge{meter: meter.New()})
	pw.add(update(1, poison.Blocked))
	pw.add(update(2, poison.Blocked))
	ups := pw.nextBatch()
	is.Equal(len(ups), 2)
	newer := update(1, poison.Clear)
	newer.Cleared = true
	pw.add(newer)
	pw.requeue(ups)
	is.Equal(len(pw.pending), 2)
	is.True(pw.pending[newer.Fingerprint].Cleared)
	is.Equal(pw.pending[update(2, poison.Blocked).Fingerprint].State, poison.Blocked)
}
