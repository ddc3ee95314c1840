package follow_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumvane/core/mirror"
	"laburnumvane/core/rank"
	"laburnumvane/io/follow"
)

// config returns the configuration of the VM with this address, with defaults for what the test
// does not use.
func config(addr string, st follow.Store) follow.Config {
	return follow.Config{
		Self:           rank.VM{Addr: addr, DataCentre: "a"},
		Store:          st,
		Clock:          clock(),
		Rand:           rand.New(rand.NewPCG(1, 2)),
		OnChange:       func(follow.Change) {},
		OnSourceChange: func(mirror.Step, time.Duration, error) {},
	}
}

func clock() func() time.Duration {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}

// start runs a follower until end is called.
func start(t *testing.T, cfg follow.Config) (fo *follow.Follower, end func()) {
	t.Helper()
	fo = follow.New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		fo.Run(ctx)
	}()
	return fo, func() {
		cancel()
		<-done
	}
}

// startWithCopy starts a follower, waits until it has a copy with the given number of entries,
// and returns a function that ends it.
func startWithCopy(t *testing.T, size int) (fo *follow.Follower, end func()) {
	t.Helper()
	st := &fullStore{update: mirror.Update{Full: true, AsOf: uint64(size), Events: entries(size)}}
	fo, end = start(t, config("10.0.0.1:7000", st))
	for fo.Age() > time.Second {
		time.Sleep(time.Millisecond)
	}
	return fo, end
}
