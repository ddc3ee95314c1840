package change

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/golden"
)

func at(revision uint64) *uint64 { return &revision }

func many(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = "other" + strings.Repeat("x", i%7) + string(rune('a'+i%26)) + time.Duration(i).String()
	}
	return ids
}

func TestProposerSessions(t *testing.T) {
	// The service fails around one change in each way that it knows. The
	// operator gets one result; it is accepted if and only if the change is in
	// the service, never conflict or refused for one that is, and the history
	// lists it once. The golden file shows the calls of each session.
	other := func(st *store) { st.write("other") }
	flood := func(st *store) { st.write(many(idLimit + 1)...) }
	restore := func(st *store) { st.states = append(st.states, Pair{Value: st.states[1].Value, Revision: 1}) }
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
		{"outdated", Config{Proposal: Proposal{Expect: at(0)}}, nil, ResultConflict, false},
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
		{"downThroughout", Config{Deadline: 3 * time.Second}, fails(40), ResultRefused, false},
		{"downAfterSwap", Config{Deadline: 3 * time.Second}, append([]step{{name: "answers"}, {name: "answer lost", lost: true}}, fails(40)...), ResultUnknown, true},
		{"backup", Config{Held: heldEntry, Proposal: Proposal{Expect: at(9)}}, nil, ResultAccepted, true},
		{"backupOutdated", Config{Held: heldEntry, Proposal: Proposal{Expect: at(1)}}, nil, ResultConflict, false},
		{"lostByRestore", Config{}, []step{{name: "answers", before: other}, {name: "request lost"}, {name: "restored", before: restore}}, ResultUnknown, false},
		{"operatorAhead", Config{Proposal: Proposal{Expect: at(2)}}, []step{{name: "from the past", before: other, past: 1}}, ResultAccepted, true},
	}
	var log strings.Builder
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ss := &session{st: newStore(), steps: tc.steps}
			ss.st.write("first")
			oc := ss.run(filled(tc.cfg))
			is.Equal(oc.Result, tc.want)
			is.Equal(ss.st.effects["mine"] == 1, tc.effect)
			log.WriteString("== " + tc.name + "\n" + ss.log.String())
		})
	}
	golden.Check(t, "proposer", log.String())
}

func fails(n int) []step {
	sps := make([]step, n)
	for i := range sps {
		sps[i] = step{name: "no answer", fail: true}
	}
	return sps
}

// filled completes a case's configuration.
func filled(cfg Config) Config {
	if cfg.Proposal.ID == "" {
		cfg.Proposal.ID = "mine"
	}
	cfg.Proposal.Team = team1
	if cfg.Proposal.Document == nil {
		cfg.Proposal.Document = document(77)
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = 20 * time.Second
	}
	return cfg
}

func TestProposerSameIDTwice(t *testing.T) {
	// An operator's script repeats a change that was accepted, also after the
	// document itself has left the history: the answer is the first one, and
	// nothing is written. The same id with another document is a conflict.
	for _, later := range []int{0, 1, documentLimit + 1} {
		is := is.New(t)
		ss := &session{st: newStore()}
		first := ss.run(filled(Config{}))
		if later > 0 {
			ss.st.write(many(later)...)
		}
		again := ss.run(filled(Config{}))
		is.Equal(again.Result, ResultAccepted)
		is.Equal(again.Entry.Revision, first.Entry.Revision)
		is.Equal(again.Swaps, 0)
		is.Equal(ss.st.effects["mine"], 1)
		is.Equal(ss.run(filled(Config{Proposal: Proposal{Document: document(78)}})).Result, ResultConflict)
	}
}

func TestProposerUsedIDForgotten(t *testing.T) {
	// A change was accepted and has left even the list of ids. Proposed again
	// without the revision that it was made from, nobody can tell, and a second
	// effect would be worse than asking.
	is := is.New(t)
	ss := &session{st: newStore()}
	is.Equal(ss.run(filled(Config{Proposal: Proposal{Expect: at(0)}})).Result, ResultAccepted)
	ss.st.write(many(idLimit + 1)...)
	is.Equal(ss.run(filled(Config{})).Result, ResultUnknown)
	is.Equal(ss.run(filled(Config{Proposal: Proposal{Expect: at(0)}})).Result, ResultUnknown)
	is.Equal(ss.st.effects["mine"], 1)
}

func TestProposerBackupRevision(t *testing.T) {
	// The service came back from a backup. The next change gets a revision
	// above the fleet's, with room for changes that this VM has not heard of.
	is := is.New(t)
	ss := &session{st: newStore()}
	ss.st.write("first")
	oc := ss.run(filled(Config{Held: Entry{ID: "held", Revision: 9, Document: document(9)}}))
	is.True(oc.Behind)
	is.Equal(oc.Entry.Revision, uint64(9+regressionGap+1))
}

func TestProposerNewerFormat(t *testing.T) {
	// A newer build wrote the value. Writing over it would lose its fields, so
	// that the change is refused and the value left alone.
	is := is.New(t)
	ss := &session{st: newStore()}
	ss.st.states = append(ss.st.states, Pair{Value: []byte(`{"format":2,"changes":[],"more":1}`), Revision: 1})
	oc := ss.run(filled(Config{}))
	is.Equal(oc.Result, ResultRefused)
	is.Equal(oc.Swaps, 0)
}
