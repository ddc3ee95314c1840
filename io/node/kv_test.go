package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/oper"
	"laburnumvane/io/plat"
	"laburnumvane/io/wire"
)

func TestSwapContract(t *testing.T) {
	// A change relies on two properties. An error that is not doubtful means that the swap has
	// not taken effect and never will; after any other error it may or may not take effect.
	// Two swaps that expect the same revision never both succeed.
	cases := []struct {
		name     string
		faults   emul.KVFaults
		fails    bool
		doubtful bool
		effect   bool
	}{
		{"no fault", emul.KVFaults{}, false, false, true},
		{"connection refused", emul.KVFaults{Refuse: true}, true, true, false},
		{"status 500", emul.KVFaults{Fail: true}, true, true, false},
		{"reply lost", emul.KVFaults{LoseSwaps: true}, true, true, true},
		{"slower than the timeout", emul.KVFaults{Slow: time.Second}, true, true, true},
		{"stale reads", emul.KVFaults{StaleReads: true}, false, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			kv := emul.NewKV(emul.KVConfig{})
			is.NoErr(kv.Start())
			defer kv.Close()
			cl := plat.New(plat.Config{Addrs: []string{kv.Addr()}, Timeout: 200 * time.Millisecond})
			defer cl.Close()
			kv.SetFaults(tc.faults)
			_, err := cl.Swap(context.Background(), wire.KVSwapRequest{Key: "k", Value: []byte("first")})
			is.Equal(err != nil, tc.fails)
			var pe *plat.Error
			if errors.As(err, &pe) {
				is.Equal(pe.MayHaveApplied, tc.doubtful)
			}
			eventually(t, "the swap took effect or never will", func() bool { return kv.Counts().Swap == 1 || tc.faults.Refuse })
			kv.SetFaults(emul.KVFaults{})
			if tc.effect {
				eventually(t, "the swap took effect", func() bool {
					_, ok, err := cl.Get(context.Background(), "k")
					return err == nil && ok
				})
			}
			rp, err := cl.Swap(context.Background(), wire.KVSwapRequest{Key: "k", Value: []byte("second")})
			is.NoErr(err)
			is.Equal(rp.Swapped, !tc.effect)
			is.True(rp.Current != nil)
		})
	}
}

func TestSwapConnectionRefused(t *testing.T) {
	// Nothing listens at the service's address. This is the only failure that proves that
	// nothing was written.
	is := is.New(t)
	kv := emul.NewKV(emul.KVConfig{})
	is.NoErr(kv.Start())
	addr := kv.Addr()
	kv.Close()
	cl := plat.New(plat.Config{Addrs: []string{addr}, Timeout: time.Second})
	defer cl.Close()
	_, err := cl.Swap(context.Background(), wire.KVSwapRequest{Key: "k"})
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.True(!pe.MayHaveApplied)
}

func TestChangeOutlastsAnOutage(t *testing.T) {
	// An operator changes the team while the key-value service is down. The VM keeps retrying,
	// and the change is accepted once the service is available again.
	is := is.New(t)
	st := startWash(t, 2)
	st.KV().SetFaults(emul.KVFaults{Refuse: true})
	nd := st.Nodes()[0]
	expect := uint64(1)
	raw := documentWith(t, st, 5)
	done := make(chan wire.ChangeReply, 1)
	go func() {
		reply, err := nd.Change(context.Background(), oper.Proposal{Team: wash, Document: raw, Expect: &expect})
		if err != nil {
			reply.Message = err.Error()
		}
		done <- reply
	}()
	eventually(t, "the VM tried twice", func() bool { return nd.Metrics()["platform.getFailed"] >= 2 })
	st.KV().SetFaults(emul.KVFaults{})
	reply := <-done
	is.Equal(reply.Result, wire.ChangeAccepted)
	waitForRevision(t, st.Nodes(), 2)
}
