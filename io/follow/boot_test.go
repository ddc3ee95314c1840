package follow_test

import (
	"context"
	"math/rand/v2"
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
	first, end := running(t)
	defer end()
	firstAddr := holder(t, first)

	seed := follow.New(follow.Config{
		Self: rank.VM{Addr: "10.0.0.2:7000", DataCentre: "a"}, Clock: clock(),
		Switched: func(feed.Step, time.Duration, error) {},
	})
	seedAddr := holder(t, seed)

	changes := make(chan follow.Change, 1)
	booting := follow.New(follow.Config{
		Self:     rank.VM{Addr: "10.0.0.3:7000", DataCentre: "a"},
		Store:    &mute{},
		Seeds:    []string{seedAddr},
		Clock:    clock(),
		Rand:     rand.New(rand.NewPCG(3, 4)),
		Changed:  func(ch follow.Change) { changes <- ch },
		Switched: func(feed.Step, time.Duration, error) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		booting.Run(ctx)
	}()
	select {
	case <-changes:
		t.Fatal("nobody has a copy to give")
	case <-time.After(150 * time.Millisecond):
	}
	_, err := seed.Follow(ctx, &inner.FollowRequest{From: firstAddr, After: 1, AgeMs: 1, Packs: true})
	is.NoErr(err)
	is.Equal(len((<-changes).Events), 1)
	cancel()
	<-done
}

func clock() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
