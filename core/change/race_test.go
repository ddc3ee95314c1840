package change

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// participant is one proposer with its pending call.
type participant struct {
	pr      *Proposer
	pending Action
	wake    time.Duration
	end     *Outcome
	id      string
}

func (rc *participant) handle(acts []Action) {
	rc.pending = nil
	for _, ac := range acts {
		switch ac := ac.(type) {
		case Report:
			rc.end = &ac.Outcome
		case Wake:
			rc.wake = ac.At
		default:
			rc.pending = ac
		}
	}
}

// race simulates several operators of one team with one service.
type race struct {
	t            *rapid.T
	st           *fakeStore
	now          time.Duration
	participants []*participant
	// delayed holds swaps whose proposer no longer waits, and that may still be applied.
	delayed []Swap
}

func (ra *race) start() {
	n := rapid.IntRange(2, 4).Draw(ra.t, "proposers")
	for i := range n {
		// Two proposals may have the same id, as when an operator repeats a change.
		id := fmt.Sprint("id", rapid.IntRange(0, n-1).Draw(ra.t, "id"))
		cfg := Config{
			Proposal: Proposal{ID: id, Team: teamName, Document: document(int(id[2]))},
			Deadline: time.Duration(rapid.IntRange(1, 20).Draw(ra.t, "deadline")) * time.Second,
			Rand:     rand.New(rand.NewPCG(uint64(i), 1)),
		}
		if rapid.Bool().Draw(ra.t, "expects") {
			cfg.Proposal.Expect = revisionPtr(uint64(rapid.IntRange(0, 2).Draw(ra.t, "revision")))
		}
		rc := &participant{pr: NewProposer(cfg), id: id}
		rc.handle(rc.pr.Step(ra.now, Begin{}))
		ra.participants = append(ra.participants, rc)
	}
}

func (ra *race) step() {
	if len(ra.delayed) > 0 && rapid.Bool().Draw(ra.t, "late") {
		ra.deliver()
	}
	if rapid.IntRange(0, 9).Draw(ra.t, "other") == 0 {
		ra.st.write(fmt.Sprint("other", len(ra.st.states)))
	}
	rc := ra.participants[rapid.IntRange(0, len(ra.participants)-1).Draw(ra.t, "who")]
	if rc.end != nil {
		return
	}
	ev := Event(Tick{})
	switch ac := rc.pending.(type) {
	case Get:
		ev = ra.get()
	case Swap:
		ev = ra.swap(ac)
	default:
		ra.now = max(ra.now, rc.wake)
	}
	rc.handle(rc.pr.Step(ra.now, ev))
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
		ra.delayed = append(ra.delayed, sw)
	case "refused":
		return SwapFailed{Err: errLost}
	}
	return SwapFailed{MayHaveApplied: true, Err: errLost}
}

func (ra *race) deliver() {
	i := rapid.IntRange(0, len(ra.delayed)-1).Draw(ra.t, "which")
	ra.st.swap(ra.delayed[i])
	ra.delayed = append(ra.delayed[:i:i], ra.delayed[i+1:]...)
}

// finish lets all deadlines pass and delivers all delayed swaps.
func (ra *race) finish() {
	for _, rc := range ra.participants {
		for ra.now += time.Minute; rc.end == nil; {
			rc.handle(rc.pr.Step(ra.now, Tick{}))
		}
	}
	for len(ra.delayed) > 0 {
		ra.deliver()
	}
}

func (ra *race) check() {
	for _, rc := range ra.participants {
		effects := ra.st.effects[rc.id]
		switch rc.end.Result {
		case ResultAccepted:
			if effects != 1 {
				ra.t.Fatalf("%s was accepted but took effect %d times", rc.id, effects)
			}
		case ResultConflict, ResultRefused:
			// Another attempt with the same id may have been made and accepted.
			if effects != 0 && ra.attempts(rc.id) == 1 {
				ra.t.Fatalf("%s was reported as %s but took effect", rc.id, rc.end.Result)
			}
		}
		if effects > 1 {
			ra.t.Fatalf("%s took effect %d times", rc.id, effects)
		}
	}
}

func (ra *race) attempts(id string) int {
	n := 0
	for _, rc := range ra.participants {
		if rc.id == id {
			n++
		}
	}
	return n
}

func TestProposerRace(t *testing.T) {
	// Operators of one team change its configuration concurrently through different VMs, while
	// reads are stale, answers and requests get lost, and abandoned swaps are applied late. No
	// change takes effect twice, none reported as conflict or refused takes effect, and each
	// accepted one does.
	rapid.Check(t, func(t *rapid.T) {
		ra := &race{t: t, st: newFakeStore()}
		ra.start()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			ra.step()
		}
		ra.finish()
		ra.check()
	})
}
