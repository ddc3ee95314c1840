package follow_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"laburnumvane/core/mirror"
	"laburnumvane/io/inner"
)

// fullStore is a store with the entries of a fleet.
type fullStore struct {
	store
	update mirror.Update
}

func (fs *fullStore) Range(context.Context, string) (mirror.Update, error) { return fs.update, nil }

func (fs *fullStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (mirror.Update, error) {
	<-ctx.Done()
	return mirror.Update{}, ctx.Err()
}

// entries returns the entries of n servers, as long as those that servers write.
func entries(n int) []mirror.Event {
	evs := make([]mirror.Event, n)
	for i := range evs {
		value := fmt.Sprintf(`{"service":"shard-%d","addr":"10.5.%d.%d:8789","dataCentre":"hall-%d","software":"v1",`+
			`"slots":3,"state":"ready","stillWarmingMs":0,"written":%d}`, i/3, i%7, i%251, i%7, i)
		evs[i].Item = mirror.Item{Key: fmt.Sprintf("servers/i-%08x", i*7919), Value: []byte(value), Revision: uint64(i + 1), Lease: 3}
	}
	return evs
}

// A whole fleet starts after a power loss, and a few VMs send all others their first copy of the
// store. Uncompressed, a copy is 58 kB for 330 servers; 65 copies fill a link of 20 Mbit/s for a
// second and a half, and until then the other VMs refuse every request. A VM of an older
// version, which cannot read compressed copies, gets it uncompressed.
func TestWholeCopyIsPacked(t *testing.T) {
	is := is.New(t)
	const servers = 330
	fo, end := startWithCopy(t, servers)
	defer end()
	plain, err := fo.Follow(t.Context(), &inner.FollowRequest{WaitMs: 10})
	is.NoErr(err)
	is.Equal(len(plain.GetEvents()), servers)
	packed, err := fo.Follow(t.Context(), &inner.FollowRequest{Packs: true})
	is.NoErr(err)
	is.True(packed.GetWhole())
	is.Equal(len(packed.GetEvents()), 0)
	t.Logf("%d bytes instead of %d", proto.Size(packed), proto.Size(plain))
	is.True(proto.Size(packed)*5 < proto.Size(plain))
}
