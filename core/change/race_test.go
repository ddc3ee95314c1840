package change

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// racer is one proposer with the call that it waits for.
type racer struct {
	pr   *Proposer
	call Action
	wake time.Duration
	end  *Outcome
	id   string
}

func (rc *racer) take(acts []Action) {
	rc.call = nil
	for _, ac := range acts {
		switch ac := ac.(type) {
		case Report:
			rc.end = &ac.Outcome
		case Wake:
			rc.wake = ac.At
		default:
			rc.call = ac
		}
	}
}

// race is some operators of one team before one service.
type race struct {
	t      *rapid.T
	st     *store
	now    time.Duration
	racers []*racer
	// limbo holds swaps that nobody waits for any more and that may yet act.
	limbo []Swap
}

func (ra *race) start() {
	n := rapid.IntRange(2, 4).Draw(ra.t, "proposers")
	for i := range n {
		// Two of them may be one operator who repeats a change.
		id := fmt.Sprint("id", rapid.IntRange(0, n-1).Draw(ra.t, "id"))
		cfg := Config{
			Proposal: Proposal{ID: id, Team: team1, Document: document(int(id[2]))},
			Deadline: time.Duration(rapid.IntRange(1, 20).Draw(ra.t, "deadline")) * time.Second,
			Rand:     rand.New(rand.NewPCG(uint64(i), 1)),
		}
		if rapid.Bool().Draw(ra.t, "expects") {
			cfg.Proposal.Expect = at(uint64(rapid.IntRange(0, 2).Draw(ra.t, "revision")))
		}
		rc := &racer{pr: NewProposer(cfg), id: id}
		rc.take(rc.pr.Step(ra.now, Begin{}))
		ra.racers = append(ra.racers, rc)
	}
}

func (ra *race) step() {
	if len(ra.limbo) > 0 && rapid.Bool().Draw(ra.t, "late") {
		ra.deliver()
	}
	if rapid.IntRange(0, 9).Draw(ra.t, "other") == 0 {
		ra.st.write(fmt.Sprint("other", len(ra.st.states)))
	}
	rc := ra.racers[rapid.IntRange(0, len(ra.racers)-1).Draw(ra.t, "who")]
	if rc.end != nil {
		return
	}
	ev := Event(Tick{})
	switch ac := rc.call.(type) {
	case Get:
		ev = ra.get()
	case Swap:
		ev = ra.swap(ac)
	default:
		ra.now = max(ra.now, rc.wake)
	}
	rc.take(rc.pr.Step(ra.now, ev))
}

func (ra *race) get() Event {
	past := rapid.IntRange(-1, 3).Draw(ra.t, "past")
	if past < 0 {
		return GetFailed{Err: errLost}
	}
	return Got{Pair: ra.st.states[max(0, len(ra.st.states)-1-past)]}
}

func (ra *race) swap(sw Swap) Event {
	switch rapid.SampledFrom([]string{"answer", "answerLost", "requestLost", "late", "refused"}).Draw(ra.t, "swap") {
	case "answer":
		return ra.st.swap(sw)
	case "answerLost":
		ra.st.swap(sw)
	case "late":
		ra.limbo = append(ra.limbo, sw)
	case "refused":
		return SwapFailed{Err: errLost}
	}
	return SwapFailed{Doubtful: true, Err: errLost}
}

func (ra *race) deliver() {
	i := rapid.IntRange(0, len(ra.limbo)-1).Draw(ra.t, "which")
	ra.st.swap(ra.limbo[i])
	ra.limbo = append(ra.limbo[:i:i], ra.limbo[i+1:]...)
}

// finish lets time run out, and everything on its way arrive.
func (ra *race) finish() {
	for _, rc := range ra.racers {
		for ra.now += time.Minute; rc.end == nil; {
			rc.take(rc.pr.Step(ra.now, Tick{}))
		}
	}
	for len(ra.limbo) > 0 {
		ra.deliver()
	}
}

func (ra *race) check() {
	for _, rc := range ra.racers {
		effects := ra.st.effects[rc.id]
		switch rc.end.Result {
		case ResultAccepted:
			if effects != 1 {
				ra.t.Fatalf("%s was accepted and has %d effects", rc.id, effects)
			}
		case ResultConflict, ResultRefused:
			// Another attempt with the same id may have been made and accepted.
			if effects != 0 && ra.attempts(rc.id) == 1 {
				ra.t.Fatalf("%s was %s and took effect", rc.id, rc.end.Result)
			}
		}
		if effects > 1 {
			ra.t.Fatalf("%s took effect %d times", rc.id, effects)
		}
	}
}

func (ra *race) attempts(id string) int {
	n := 0
	for _, rc := range ra.racers {
		if rc.id == id {
			n++
		}
	}
	return n
}

func TestProposerRace(t *testing.T) {
	// Operators of one team race through different VMs, while reads come from
	// the past, answers and requests get lost, and swaps that were given up
	// arrive late. No change takes effect twice, none that was reported as
	// conflict or refused takes effect at all, and each accepted one has.
	rapid.Check(t, func(t *rapid.T) {
		ra := &race{t: t, st: newStore()}
		ra.start()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			ra.step()
		}
		ra.finish()
		ra.check()
	})
}
