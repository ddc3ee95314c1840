package change

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/golden"
)

func revisionPtr(revision uint64) *uint64 { return &revision }

func otherIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = "other" + strings.Repeat("x", i%7) + string(rune('a'+i%26)) + time.Duration(i).String()
	}
	return ids
}

func TestProposerScenarios(t *testing.T) {
	// The service fails in all its ways during one change. The operator gets one result: accepted
	// only if the change is in the service, never conflict or refused if it is, and the history
	// lists the change once. The golden file records the calls of each scenario.
	other := func(st *fakeStore) { st.write("other") }
	flood := func(st *fakeStore) { st.write(otherIDs(idLimit + 1)...) }
	restore := func(st *fakeStore) { st.states = append(st.states, Pair{Value: st.states[1].Value, Revision: 1}) }
	heldEntry := Entry{ID: "held", Revision: 9, Document: document(9)}
	cases := []struct {
		name   string
		cfg    Config
		steps  []step
		want   Result
		effect bool
	}{
		{"plain", Config{}, nil, ResultAccepted, true},
		{"dryRun", Config{Proposal: Proposal{DryRun: true}}, nil, ResultDryRun, false},
		{"invalid", Config{Proposal: Proposal{Document: []byte(`{"team":"wash","news":1}`)}}, nil, ResultRefused, false},
		{"badID", Config{Proposal: Proposal{ID: "a b"}}, nil, ResultRefused, false},
		{"outdated", Config{Proposal: Proposal{Expect: revisionPtr(0)}}, nil, ResultConflict, false},
		{"race", Config{}, []step{{name: "answers"}, {name: "another came first", before: other}}, ResultConflict, false},
		{"answerLost", Config{}, []step{{name: "answers"}, {name: "answer lost", lost: true}}, ResultAccepted, true},
		{"answerLostThenOthers", Config{}, []step{{name: "answers"}, {name: "answer lost", lost: true}, {name: "others wrote", before: other}}, ResultAccepted, true},
		{"requestLost", Config{}, []step{{name: "answers"}, {name: "request lost"}}, ResultAccepted, true},
		{"requestLostThenOthers", Config{}, []step{{name: "answers"}, {name: "request lost"}, {name: "another came first", before: other}}, ResultConflict, false},
		{"answerLostThenCut", Config{}, []step{{name: "answers"}, {name: "answer lost", lost: true}, {name: "history cut", before: flood}}, ResultUnknown, true},
		{"requestLostThenCut", Config{}, []step{{name: "answers"}, {name: "request lost"}, {name: "history cut", before: flood}}, ResultUnknown, false},
		{"cutButNoDoubt", Config{}, []step{{name: "answers"}, {name: "history cut", before: flood}}, ResultConflict, false},
		{"refusedOnce", Config{}, []step{{name: "answers"}, {name: "no connection", fail: true}}, ResultAccepted, true},
		{"readFromPast", Config{}, []step{{name: "answers"}, {name: "answer lost", lost: true}, {name: "from the past", past: 1}}, ResultAccepted, true},
		{"downThroughout", Config{Deadline: 3 * time.Second}, failedSteps(40), ResultRefused, false},
		{"downAfterSwap", Config{Deadline: 3 * time.Second}, append([]step{{name: "answers"}, {name: "answer lost", lost: true}}, failedSteps(40)...), ResultUnknown, true},
		{"backup", Config{InForce: heldEntry, Proposal: Proposal{Expect: revisionPtr(9)}}, nil, ResultAccepted, true},
		{"backupOutdated", Config{InForce: heldEntry, Proposal: Proposal{Expect: revisionPtr(1)}}, nil, ResultConflict, false},
		{"lostByRestore", Config{}, []step{{name: "answers", before: other}, {name: "request lost"}, {name: "restored", before: restore}}, ResultUnknown, false},
		{"operatorAhead", Config{Proposal: Proposal{Expect: revisionPtr(2)}}, []step{{name: "from the past", before: other, past: 1}}, ResultAccepted, true},
	}
	var log strings.Builder
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sc := &scenario{st: newFakeStore(), steps: tc.steps}
			sc.st.write("first")
			oc := sc.run(withDefaults(tc.cfg))
			is.Equal(oc.Result, tc.want)
			is.Equal(sc.st.effects["mine"] == 1, tc.effect)
			log.WriteString("== " + tc.name + "\n" + sc.log.String())
		})
	}
	golden.Check(t, "proposer", log.String())
}

func failedSteps(n int) []step {
	sps := make([]step, n)
	for i := range sps {
		sps[i] = step{name: "no answer", fail: true}
	}
	return sps
}

// withDefaults completes a case's configuration.
func withDefaults(cfg Config) Config {
	if cfg.Proposal.ID == "" {
		cfg.Proposal.ID = "mine"
	}
	cfg.Proposal.Team = teamName
	if cfg.Proposal.Document == nil {
		cfg.Proposal.Document = document(77)
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = 20 * time.Second
	}
	return cfg
}

func TestProposerSameIDTwice(t *testing.T) {
	// An operator's script repeats an accepted change, also after its document was dropped from the
	// history. The result is that of the first attempt, and nothing is written. The same id with
	// another document is a conflict.
	for _, later := range []int{0, 1, documentLimit + 1} {
		is := is.New(t)
		sc := &scenario{st: newFakeStore()}
		first := sc.run(withDefaults(Config{}))
		if later > 0 {
			sc.st.write(otherIDs(later)...)
		}
		again := sc.run(withDefaults(Config{}))
		is.Equal(again.Result, ResultAccepted)
		is.Equal(again.Entry.Revision, first.Entry.Revision)
		is.Equal(again.Swaps, 0)
		is.Equal(sc.st.effects["mine"], 1)
		is.Equal(sc.run(withDefaults(Config{Proposal: Proposal{Document: document(78)}})).Result, ResultConflict)
	}
}

func TestProposerIDDroppedFromHistory(t *testing.T) {
	// A change was accepted and its id dropped from the history. If it is proposed again, the
	// result is unknown, because applying it a second time would be worse than asking the operator.
	is := is.New(t)
	sc := &scenario{st: newFakeStore()}
	is.Equal(sc.run(withDefaults(Config{Proposal: Proposal{Expect: revisionPtr(0)}})).Result, ResultAccepted)
	sc.st.write(otherIDs(idLimit + 1)...)
	is.Equal(sc.run(withDefaults(Config{})).Result, ResultUnknown)
	is.Equal(sc.run(withDefaults(Config{Proposal: Proposal{Expect: revisionPtr(0)}})).Result, ResultUnknown)
	is.Equal(sc.st.effects["mine"], 1)
}

func TestProposerBackupRevision(t *testing.T) {
	// After the service was restored from a backup, the next change gets a revision above that of
	// this VM, with a gap for changes that this VM has not received.
	is := is.New(t)
	sc := &scenario{st: newFakeStore()}
	sc.st.write("first")
	oc := sc.run(withDefaults(Config{InForce: Entry{ID: "held", Revision: 9, Document: document(9)}}))
	is.True(oc.ServiceBehind)
	is.Equal(oc.Entry.Revision, uint64(9+revisionGap+1))
}

func TestProposerNewerFormat(t *testing.T) {
	// A newer build wrote the value. Overwriting it would lose its fields, so the change is refused
	// and the value is left alone.
	is := is.New(t)
	sc := &scenario{st: newFakeStore()}
	sc.st.states = append(sc.st.states, Pair{Value: []byte(`{"format":2,"changes":[],"more":1}`), Revision: 1})
	oc := sc.run(withDefaults(Config{}))
	is.Equal(oc.Result, ResultRefused)
	is.Equal(oc.Swaps, 0)
}
