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
	chaosCallers     = 6
	chaosSearches    = 60
	chaosMinAnswered = 5
	chaosLimit       = 4
)

// outcome is the result that a caller got for one sub-request.
type outcome struct {
	id    string
	query string
	err   error
}

// Callers search continually, partly with SearchOnce and with deadlines that often pass, while
// the server crashes and restarts, its connections go silent, it does not answer, it fails, or
// the limit of connections changes. In all cases a reply belongs to its request, a sub-request
// reported as unsent was not run, nothing ran twice, and after the faults end the pool works
// within its limit.
func TestChaos(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			fx := newFixture(t, emul.UpstreamConfig{Seed: seed, Slots: 8, Queue: 8, Connections: chaosLimit + 1, Service: fixedServiceTime(time.Millisecond)},
				upst.Config{MaxConns: chaosLimit, MinConns: 2, DialTimeout: 100 * time.Millisecond, PingTimeout: 20 * time.Millisecond, Seed: seed})
			stop := make(chan struct{})
			var faults sync.WaitGroup
			faults.Add(1)
			go func() {
				defer faults.Done()
				fx.injectFaults(seed, stop)
			}()
			outcomes := fx.runCallers(seed)
			close(stop)
			faults.Wait()
			kinds := map[upst.Kind]int{}
			for _, oc := range outcomes {
				kinds[fx.checkOutcome(oc)]++
			}
			t.Log(kinds)
			fx.checkRecovery()
		})
	}
}

func (fx *fixture) runCallers(seed uint64) []outcome {
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	for caller := range chaosCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(caller)))
			answered := 0
			for i := 0; i < chaosSearches || answered < chaosMinAnswered; i++ {
				oc := fx.searchRandomly(fmt.Sprintf("%d.%d", caller, i), rnd)
				mu.Lock()
				outcomes = append(outcomes, oc)
				mu.Unlock()
				if oc.err == nil {
					answered++
				} else {
					time.Sleep(time.Millisecond) // lets injectFaults go on to the next fault
				}
			}
		}()
	}
	wg.Wait()
	return outcomes
}

// searchRandomly runs one sub-request with a unique query and a random deadline, sometimes as
// SearchOnce and sometimes with a cancellation.
func (fx *fixture) searchRandomly(id string, rnd *rand.Rand) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rnd.IntN(60))*time.Millisecond)
	defer cancel()
	rq := request(id)
	rq.Query = json.RawMessage(fmt.Sprintf(`{"member":%q}`, id))
	run := fx.sv.Search
	if rnd.IntN(3) == 0 {
		run = fx.sv.SearchOnce
	}
	if rnd.IntN(8) == 0 {
		go fx.sv.Cancel(id)
	}
	rp, err := run(ctx, rq)
	if err == nil && rp.ID != id {
		err = errors.Errorf("reply to %s received for %s", rp.ID, id)
	}
	return outcome{id: id, query: string(rq.Query), err: err}
}

// injectFaults injects random faults one after the other until stop is closed.
func (fx *fixture) injectFaults(seed uint64, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(seed, 99))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.IntN(8)) * time.Millisecond):
		}
		fx.fc.advance(time.Duration(rnd.IntN(700)) * time.Millisecond)
		fx.sv.MaintainOnce(true)
		switch rnd.IntN(9) {
		case 0:
			fx.up.Crash()
			fx.is.NoErr(fx.up.Restart(wire.UpstreamServing))
		case 1:
			fx.up.Silence()
		case 2:
			fx.up.SetFaults(emul.UpstreamFaults{Mute: true})
		case 3:
			fx.up.SetFaults(emul.UpstreamFaults{ErrorShare: 0.5})
		case 4:
			fx.up.SetFaults(emul.UpstreamFaults{SilentAfter: 600})
		case 5:
			fx.sv.SetLimit(rnd.IntN(chaosLimit + 1))
		default:
			fx.up.SetFaults(emul.UpstreamFaults{})
			fx.sv.SetLimit(chaosLimit)
		}
	}
}

// checkOutcome compares a caller's result with what the server ran, and returns the kind of the
// error, if any.
func (fx *fixture) checkOutcome(oc outcome) upst.Kind {
	fx.is.Helper()
	runs := fx.up.RunsOf(oc.query)
	fx.is.True(runs <= 1)
	if oc.err == nil {
		fx.is.Equal(runs, 1)
		return ""
	}
	var ue *upst.Error
	fx.is.True(errors.As(oc.err, &ue)) // fails on a reply to another request, or an error of another type
	if !ue.Sent {
		fx.is.Equal(runs, 0)
	}
	return ue.Kind
}

// checkRecovery checks that searches succeed again, and that no connection is left over, after
// the faults have ended.
func (fx *fixture) checkRecovery() {
	fx.up.SetFaults(emul.UpstreamFaults{})
	fx.sv.SetLimit(chaosLimit)
	fx.until("a search is answered", func() bool {
		fx.fc.advance(300 * time.Millisecond)
		fx.sv.MaintainOnce(true)
		return fx.search("after", time.Second) == nil
	})
	fx.until("no connection is left over", func() bool {
		fx.fc.advance(300 * time.Millisecond)
		fx.sv.MaintainOnce(false)
		open, _ := fx.up.Connections()
		return fx.sv.Open() <= chaosLimit && open <= chaosLimit
	})
}
