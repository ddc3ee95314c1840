package follow_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
	"laburnumvane/core/rank"
	"laburnumvane/io/follow"
	"laburnumvane/io/inner"
)

// silentStore accepts calls and answers none.
type silentStore struct{ store }

func (ss *silentStore) Range(ctx context.Context, _ string) (mirror.Update, error) {
	<-ctx.Done()
	return mirror.Update{}, ctx.Err()
}

// serveFeed serves a follower's updates on loopback.
func serveFeed(t *testing.T, fo *follow.Follower) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	mux := http.NewServeMux()
	mux.Handle(inner.FeedPathPrefix, inner.NewFeedServer(fo))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		if err := srv.Serve(ln); err != http.ErrServerClosed {
			t.Errorf("serve: %v", err)
		}
	}()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// A VM starts and reads the store, which takes long with a large copy and a slow link; here it
// never ends. Meanwhile another VM gets a copy and notifies the only seed, which has none
// itself. The VM must get its copy from that VM without waiting for the store: until it has a
// copy, it refuses every request.
func TestCopyComesWhileTheStoreIsRead(t *testing.T) {
	is := is.New(t)
	first, end := startWithCopy(t, 1)
	defer end()
	firstAddr := serveFeed(t, first)

	seed := follow.New(config("10.0.0.2:7000", nil))
	seedAddr := serveFeed(t, seed)

	changes := make(chan follow.Change, 1)
	cfg := config("10.0.0.3:7000", &silentStore{})
	cfg.Seeds = []string{seedAddr}
	cfg.OnChange = func(ch follow.Change) { changes <- ch }
	_, stop := start(t, cfg)
	defer stop()
	select {
	case <-changes:
		t.Fatal("got a copy although no VM has one")
	case <-time.After(150 * time.Millisecond):
	}
	_, err := seed.Follow(t.Context(), &inner.FollowRequest{From: firstAddr, After: 1, AgeMs: 1, Packs: true})
	is.NoErr(err)
	is.Equal(len((<-changes).Events), 1)
}

// All VMs lost power, and the seeds are still down, so calls to them get no answer. The VM's
// link is slow, so reading the copy from the store takes long; here it never ends. The store
// lists the other VMs, and one of them has a copy. The VM must get it there: until it has a
// copy, it refuses every request.
func TestCopyComesFromListedVM(t *testing.T) {
	is := is.New(t)
	first, end := startWithCopy(t, 1)
	defer end()
	firstAddr := serveFeed(t, first)
	dark, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and reads nothing
	is.NoErr(err)
	defer dark.Close()

	changes := make(chan follow.Change, 1)
	cfg := config("10.0.0.3:7000", &silentStore{})
	cfg.Seeds = []string{dark.Addr().String()}
	cfg.LinkMbps = 20
	cfg.List = func(context.Context) ([]mirror.Member, error) {
		return []mirror.Member{
			{VM: cfg.Self, Capacity: 0.2},
			{VM: rank.VM{Addr: firstAddr, DataCentre: cfg.Self.DataCentre}, Capacity: 0.8},
		}, nil
	}
	cfg.OnChange = func(ch follow.Change) { changes <- ch }
	_, stop := start(t, cfg)
	defer stop()
	is.Equal(len((<-changes).Events), 1)
}

// The store is slow to list the other VMs, or never answers. The VM then reads the complete copy
// from it.
func TestListFails(t *testing.T) {
	is := is.New(t)
	changes := make(chan follow.Change, 1)
	cfg := config("10.0.0.3:7000", &fullStore{update: mirror.Update{Full: true, AsOf: 1, Events: entries(1)}})
	cfg.LinkMbps = 20
	cfg.List = func(ctx context.Context) ([]mirror.Member, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	cfg.OnChange = func(ch follow.Change) { changes <- ch }
	_, stop := start(t, cfg)
	defer stop()
	is.Equal(len((<-changes).Events), 1)
}
