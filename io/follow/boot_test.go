package follow_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/feed"
	"laburnumvane/core/rank"
	"laburnumvane/io/follow"
	"laburnumvane/io/inner"
)

// mute is a store that takes calls and answers none.
type mute struct{ store }

func (mu *mute) Range(ctx context.Context, _ string) (feed.Update, error) {
	<-ctx.Done()
	return feed.Update{}, ctx.Err()
}

// holder serves a follower's news on loopback.
func holder(t *testing.T, fo *follow.Follower) (addr string) {
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

// A VM boots and reads the store, which takes as long as the copy is large and its link
// small: here for ever. Another VM gets a copy meanwhile and tells the only seed, which
// has none itself. The VM must have its copy from that one, not when the store is through:
// until then it refuses every request.
func TestCopyComesWhileTheStoreIsRead(t *testing.T) {
	is := is.New(t)
	first, end := running(t, 1)
	defer end()
	firstAddr := holder(t, first)

	seed := follow.New(config("10.0.0.2:7000", nil))
	seedAddr := holder(t, seed)

	changes := make(chan follow.Change, 1)
	cfg := config("10.0.0.3:7000", &mute{})
	cfg.Seeds = []string{seedAddr}
	cfg.Changed = func(ch follow.Change) { changes <- ch }
	_, stop := start(t, cfg)
	defer stop()
	select {
	case <-changes:
		t.Fatal("nobody has a copy to give")
	case <-time.After(150 * time.Millisecond):
	}
	_, err := seed.Follow(t.Context(), &inner.FollowRequest{From: firstAddr, After: 1, AgeMs: 1, Packs: true})
	is.NoErr(err)
	is.Equal(len((<-changes).Events), 1)
}

// All VMs lost their power, and the seeds are still without: whoever asks them hears
// nothing. The VM's link is small, so that a copy from the store takes long, here for
// ever. The store names the others, and one of them has a copy: until the VM has it, it
// refuses every request.
func TestCopyComesFromOneOnTheList(t *testing.T) {
	is := is.New(t)
	first, end := running(t, 1)
	defer end()
	firstAddr := holder(t, first)
	dark, err := net.Listen("tcp", "127.0.0.1:0") // it takes connections, and nobody reads
	is.NoErr(err)
	defer dark.Close()

	changes := make(chan follow.Change, 1)
	cfg := config("10.0.0.3:7000", &mute{})
	cfg.Seeds = []string{dark.Addr().String()}
	cfg.LinkMbps = 20
	cfg.List = func(context.Context) ([]feed.Member, error) {
		return []feed.Member{
			{VM: cfg.Self, Capacity: 0.2},
			{VM: rank.VM{Addr: firstAddr, DataCentre: cfg.Self.DataCentre}, Capacity: 0.8},
		}, nil
	}
	cfg.Changed = func(ch follow.Change) { changes <- ch }
	_, stop := start(t, cfg)
	defer stop()
	is.Equal(len((<-changes).Events), 1)
}

// The store is slow to name the others, or does not. The VM reads it whole then.
func TestListFails(t *testing.T) {
	is := is.New(t)
	changes := make(chan follow.Change, 1)
	cfg := config("10.0.0.3:7000", &full{update: feed.Update{Whole: true, AsOf: 1, Events: entries(1)}})
	cfg.LinkMbps = 20
	cfg.List = func(ctx context.Context) ([]feed.Member, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	cfg.Changed = func(ch follow.Change) { changes <- ch }
	_, stop := start(t, cfg)
	defer stop()
	is.Equal(len((<-changes).Events), 1)
}
