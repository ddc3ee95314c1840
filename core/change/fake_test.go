package change

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

var errLost = errors.New("connection reset")

const teamName = "wash"

func document(limit int) []byte {
	return fmt.Appendf(nil, `{"version":1,"team":"wash","limits":{"concurrent":%d},"searches":{},"registers":{}}`, limit)
}

// fakeStore simulates one key of the service, with all its past states.
type fakeStore struct {
	states []Pair
	// effects counts, by id, how often a write added the change.
	effects map[string]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{states: []Pair{{}}, effects: map[string]int{}}
}

func (st *fakeStore) current() Pair { return st.states[len(st.states)-1] }

func (st *fakeStore) swap(sw Swap) Swapped {
	cur := st.current()
	if cur.Revision != sw.Expect {
		return Swapped{Pair: cur}
	}
	before, after := mustDecode(cur), mustDecode(Pair{Value: sw.Value, Revision: 1})
	top, _ := after.Current()
	if _, had := before.Find(top.ID); had || after.Revision() <= before.Revision() {
		panic("a change took effect twice, or a revision decreased")
	}
	st.effects[top.ID]++
	st.states = append(st.states, Pair{Value: sw.Value, Revision: st.highestRevision() + 1})
	return Swapped{Done: true, Pair: st.current()}
}

func (st *fakeStore) highestRevision() uint64 {
	highest := uint64(0)
	for _, pair := range st.states {
		highest = max(highest, pair.Revision)
	}
	return highest
}

// write adds changes of other operators in one write.
func (st *fakeStore) write(ids ...string) {
	en := mustDecode(st.current())
	for i, id := range ids {
		en = en.WithChange(Entry{ID: id, Document: document(i)}, 0)
	}
	value, err := en.Encode()
	if err != nil {
		panic(err)
	}
	st.swap(Swap{Value: value, Expect: st.current().Revision})
}

func mustDecode(pair Pair) Envelope {
	en, err := decodePair(pair)
	if err != nil {
		panic(err)
	}
	return en
}

// step is the behaviour of the service for the next call.
type step struct {
	name string
	// before is run before the call.
	before func(*fakeStore)
	// past is the number of writes by which the answer to a read is stale.
	past int
	// fail returns an error without effect; lost returns one after the effect.
	fail, lost bool
}

// scenario runs a proposer against the given steps and logs the calls. The service answers all
// calls after the last step.
type scenario struct {
	st    *fakeStore
	steps []step
	log   strings.Builder
	now   time.Duration
}

func (sc *scenario) run(cfg Config) Outcome {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 1))
	}
	pr := NewProposer(cfg)
	acts := pr.Step(sc.now, Begin{})
	for range 1000 {
		ev, oc, done := sc.perform(acts)
		if done {
			fmt.Fprintf(&sc.log, "%8s  %s revision=%d current=%s/%d swaps=%d behind=%t err=%v\n",
				sc.now, oc.Result, oc.Entry.Revision, oc.Current.ID, oc.Current.Revision, oc.Swaps, oc.ServiceBehind, oc.Err)
			return oc
		}
		acts = pr.Step(sc.now, ev)
	}
	panic("the proposer does not finish")
}

func (sc *scenario) perform(acts []Action) (Event, Outcome, bool) {
	for _, ac := range acts {
		switch ac := ac.(type) {
		case Report:
			return nil, ac.Outcome, true
		case Get:
			return sc.get(), Outcome{}, false
		case Swap:
			return sc.swap(ac), Outcome{}, false
		}
	}
	for _, ac := range acts {
		if wk, ok := ac.(Wake); ok {
			sc.now = max(sc.now, wk.At)
		}
	}
	return Tick{}, Outcome{}, false
}

func (sc *scenario) next() step {
	sc.now += 5 * time.Millisecond
	if len(sc.steps) == 0 {
		return step{name: "answers"}
	}
	sp := sc.steps[0]
	sc.steps = sc.steps[1:]
	if sp.before != nil {
		sp.before(sc.st)
	}
	return sp
}

func (sc *scenario) get() Event {
	sp := sc.next()
	fmt.Fprintf(&sc.log, "%8s  get: %s\n", sc.now, sp.name)
	if sp.fail {
		return GetFailed{Err: errLost}
	}
	at := max(0, len(sc.st.states)-1-sp.past)
	return Got{Pair: sc.st.states[at]}
}

func (sc *scenario) swap(sw Swap) Event {
	sp := sc.next()
	fmt.Fprintf(&sc.log, "%8s  swap expecting %d: %s\n", sc.now, sw.Expect, sp.name)
	switch {
	case sp.fail:
		return SwapFailed{Err: errLost}
	case sp.lost:
		sc.st.swap(sw)
		return SwapFailed{MayHaveApplied: true, Err: errLost}
	case sp.name == "request lost":
		return SwapFailed{MayHaveApplied: true, Err: errLost}
	}
	return sc.st.swap(sw)
}
