package change

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

var errLost = errors.New("connection reset")

const team1 = "wash"

func document(limit int) []byte {
	return fmt.Appendf(nil, `{"version":1,"team":"wash","limits":{"concurrent":%d},"searches":{},"registers":{}}`, limit)
}

// store is one key of the service, with its whole past.
type store struct {
	states []Pair
	// effects counts, by id, the writes that brought the id in.
	effects map[string]int
}

func newStore() *store {
	return &store{states: []Pair{{}}, effects: map[string]int{}}
}

func (st *store) now() Pair { return st.states[len(st.states)-1] }

func (st *store) swap(sw Swap) Swapped {
	cur := st.now()
	if cur.Revision != sw.Expect {
		return Swapped{Pair: cur}
	}
	before, after := mustDecode(cur), mustDecode(Pair{Value: sw.Value, Revision: 1})
	top, _ := after.Current()
	if _, had := before.Find(top.ID); had || after.Revision() <= before.Revision() {
		panic("a change took effect twice, or a revision went down")
	}
	st.effects[top.ID]++
	st.states = append(st.states, Pair{Value: sw.Value, Revision: st.top() + 1})
	return Swapped{Done: true, Pair: st.now()}
}

func (st *store) top() uint64 {
	highest := uint64(0)
	for _, pair := range st.states {
		highest = max(highest, pair.Revision)
	}
	return highest
}

// write puts changes of other operators in, in one write.
func (st *store) write(ids ...string) {
	en := mustDecode(st.now())
	for i, id := range ids {
		en = en.WithChange(Entry{ID: id, Document: document(i)}, 0)
	}
	value, err := en.Encode()
	if err != nil {
		panic(err)
	}
	st.swap(Swap{Value: value, Expect: st.now().Revision})
}

func mustDecode(pair Pair) Envelope {
	en, err := decodePair(pair)
	if err != nil {
		panic(err)
	}
	return en
}

// step is what the service does with the next call of a session.
type step struct {
	name string
	// before runs ahead of the call.
	before func(*store)
	// past answers a read from a state so many writes ago.
	past int
	// fail answers with an error; lost does so after the effect.
	fail, lost bool
}

// session drives a proposer through steps and writes down what happened. Calls
// beyond the last step meet a healthy service.
type session struct {
	st    *store
	steps []step
	log   strings.Builder
	now   time.Duration
}

func (ss *session) run(cfg Config) Outcome {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 1))
	}
	pr := NewProposer(cfg)
	acts := pr.Step(ss.now, Begin{})
	for range 1000 {
		ev, oc, done := ss.answer(acts)
		if done {
			fmt.Fprintf(&ss.log, "%8s  %s revision=%d current=%s/%d swaps=%d behind=%t err=%v\n",
				ss.now, oc.Result, oc.Entry.Revision, oc.Current.ID, oc.Current.Revision, oc.Swaps, oc.Behind, oc.Err)
			return oc
		}
		acts = pr.Step(ss.now, ev)
	}
	panic("the proposer does not end")
}

func (ss *session) answer(acts []Action) (Event, Outcome, bool) {
	for _, ac := range acts {
		switch ac := ac.(type) {
		case Report:
			return nil, ac.Outcome, true
		case Get:
			return ss.get(), Outcome{}, false
		case Swap:
			return ss.swap(ac), Outcome{}, false
		}
	}
	for _, ac := range acts {
		if wk, ok := ac.(Wake); ok {
			ss.now = max(ss.now, wk.At)
		}
	}
	return Tick{}, Outcome{}, false
}

func (ss *session) next() step {
	ss.now += 5 * time.Millisecond
	if len(ss.steps) == 0 {
		return step{name: "answers"}
	}
	sp := ss.steps[0]
	ss.steps = ss.steps[1:]
	if sp.before != nil {
		sp.before(ss.st)
	}
	return sp
}

func (ss *session) get() Event {
	sp := ss.next()
	fmt.Fprintf(&ss.log, "%8s  get: %s\n", ss.now, sp.name)
	if sp.fail {
		return GetFailed{Err: errLost}
	}
	at := max(0, len(ss.st.states)-1-sp.past)
	return Got{Pair: ss.st.states[at]}
}

func (ss *session) swap(sw Swap) Event {
	sp := ss.next()
	fmt.Fprintf(&ss.log, "%8s  swap expecting %d: %s\n", ss.now, sw.Expect, sp.name)
	switch {
	case sp.fail:
		return SwapFailed{Err: errLost}
	case sp.lost:
		ss.st.swap(sw)
		return SwapFailed{Doubtful: true, Err: errLost}
	case sp.name == "request lost":
		return SwapFailed{Doubtful: true, Err: errLost}
	}
	return ss.st.swap(sw)
}
