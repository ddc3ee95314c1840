package upst_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/io/emul"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

const (
	chaosCallers  = 6
	chaosSearches = 60
	chaosAnswered = 5
	chaosLimit    = 4
)

// outcome is what one caller was told of one sub-request.
type outcome struct {
	id    string
	query string
	err   error
}

// Callers keep asking, some once only, with deadlines that often pass, while the
// server crashes and comes back, its connections go silent, it answers nobody,
// errs, or is told to have fewer connections. Whatever happens: a reply is the
// caller's own, what is called unsent never ran, nothing ran twice, and the
// pool works when the trouble ends, with no connection too many.
func TestChaos(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			ri := newRig(t, emul.UpstreamConfig{Seed: seed, Slots: 8, Queue: 8, Connections: chaosLimit + 1, Service: slow(time.Millisecond)},
				upst.Config{MaxConns: chaosLimit, Floor: 2, DialTimeout: 100 * time.Millisecond, PingTimeout: 20 * time.Millisecond, Seed: seed})
			stop := make(chan struct{})
			var trouble sync.WaitGroup
			trouble.Add(1)
			go func() {
				defer trouble.Done()
				ri.trouble(seed, stop)
			}()
			told := ri.callers(seed)
			close(stop)
			trouble.Wait()
			kinds := map[upst.Kind]int{}
			for _, oc := range told {
				kinds[ri.judge(oc)]++
			}
			t.Log(kinds)
			ri.recovers()
		})
	}
}

func (ri *rig) callers(seed uint64) []outcome {
	var mu sync.Mutex
	var told []outcome
	var wg sync.WaitGroup
	for caller := range chaosCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(caller)))
			answered := 0
			for i := 0; i < chaosSearches || answered < chaosAnswered; i++ {
				oc := ri.ask(fmt.Sprintf("%d.%d", caller, i), rnd)
				mu.Lock()
				told = append(told, oc)
				mu.Unlock()
				if oc.err == nil {
					answered++
				} else {
					time.Sleep(time.Millisecond) // lets the trouble go on to the next
				}
			}
		}()
	}
	wg.Wait()
	return told
}

// ask runs one sub-request with a query text of its own.
func (ri *rig) ask(id string, rnd *rand.Rand) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rnd.IntN(60))*time.Millisecond)
	defer cancel()
	rq := request(id)
	rq.Query = json.RawMessage(fmt.Sprintf(`{"member":%q}`, id))
	run := ri.sv.Search
	if rnd.IntN(3) == 0 {
		run = ri.sv.SearchOnce
	}
	if rnd.IntN(8) == 0 {
		go ri.sv.Cancel(id)
	}
	rp, err := run(ctx, rq)
	if err == nil && rp.ID != id {
		err = errors.Errorf("a reply of %s for %s", rp.ID, id)
	}
	return outcome{id: id, query: string(rq.Query), err: err}
}

// trouble does one thing after another to the server until stop.
func (ri *rig) trouble(seed uint64, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(seed, 99))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.IntN(8)) * time.Millisecond):
		}
		ri.fc.advance(time.Duration(rnd.IntN(700)) * time.Millisecond)
		ri.sv.Tick(true)
		switch rnd.IntN(9) {
		case 0:
			ri.up.Crash()
			ri.is.NoErr(ri.up.Restart(wire.UpstreamServing))
		case 1:
			ri.up.Silence()
		case 2:
			ri.up.SetFaults(emul.UpstreamFaults{Mute: true})
		case 3:
			ri.up.SetFaults(emul.UpstreamFaults{ErrorShare: 0.5})
		case 4:
			ri.up.SetFaults(emul.UpstreamFaults{SilentAfter: 600})
		case 5:
			ri.sv.SetLimit(rnd.IntN(chaosLimit + 1))
		default:
			ri.up.SetFaults(emul.UpstreamFaults{})
			ri.sv.SetLimit(chaosLimit)
		}
	}
}

// judge holds what a caller was told against what the server did, and returns
// the kind of its error.
func (ri *rig) judge(oc outcome) upst.Kind {
	ri.is.Helper()
	runs := ri.up.RunsOf(oc.query)
	ri.is.True(runs <= 1)
	if oc.err == nil {
		ri.is.Equal(runs, 1)
		return ""
	}
	var ue *upst.Error
	ri.is.True(errors.As(oc.err, &ue)) // another's reply, or an error of no kind
	if !ue.Sent {
		ri.is.Equal(runs, 0)
	}
	return ue.Kind
}

// recovers checks that all is well again once the trouble has ended.
func (ri *rig) recovers() {
	ri.up.SetFaults(emul.UpstreamFaults{})
	ri.sv.SetLimit(chaosLimit)
	ri.until("a search is answered", func() bool {
		ri.fc.advance(300 * time.Millisecond)
		ri.sv.Tick(true)
		return ri.search("after", time.Second) == nil
	})
	ri.until("no connection is left over", func() bool {
		ri.fc.advance(300 * time.Millisecond)
		ri.sv.Tick(false)
		open, _ := ri.up.Connections()
		return ri.sv.Open() <= chaosLimit && open <= chaosLimit
	})
}
