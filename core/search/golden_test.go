package search_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/search"
	"laburnumvane/core/view"
	"laburnumvane/internal/golden"
)

// outPrefix marks the lines of a golden file that are actions of the machine.
const outPrefix = "< "

// Each file is one search: each event is followed by the actions of the machine.
// Lines that begin with # are comments. An event line is a time, a kind and fields.
func TestGoldenSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.golden")
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden sessions: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".golden")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			old, err := os.ReadFile(file)
			is.NoErr(err)
			got, err := replay(string(old))
			is.NoErr(err)
			golden.Check(t, name, got)
		})
	}
}

// script is the state of the replay of one golden file.
type script struct {
	cfg    search.Config
	newer  view.Snapshot
	tokens *countingBudget
	mc     *search.Machine
	out    strings.Builder
}

// replay runs the events in text and returns text with the actions that follow
// from them.
func replay(text string) (string, error) {
	sc := &script{}
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, outPrefix) {
			continue
		}
		sc.out.WriteString(line + "\n")
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := sc.run(strings.Fields(line)); err != nil {
			return "", fmt.Errorf("%q: %w", line, err)
		}
	}
	return sc.out.String(), nil
}

func (sc *script) run(words []string) error {
	switch words[0] {
	case "config":
		return sc.config(words[1:])
	case "newer":
		fs, err := parseFields(words[1:])
		sc.newer = snapshotOf(uint64(fs.number("version")), fs.number("shards"))
		return err
	case "tokens":
		fs, err := parseFields(words[1:])
		sc.tokens.available += fs.number("add")
		return err
	}
	now, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	if words[1] == "start" {
		sc.mc = search.New(sc.cfg)
		sc.write(sc.mc.Start(now))
		return nil
	}
	ev, err := eventOf(words[1:])
	if err != nil {
		return err
	}
	sc.write(sc.mc.Step(now, ev))
	return nil
}

func (sc *script) config(words []string) error {
	fs, err := parseFields(words)
	sc.tokens = &countingBudget{available: fs.number("tokens")}
	sc.cfg = search.Config{
		ID:            1,
		Snapshot:      snapshotOf(uint64(fs.number("version")), fs.number("shards")),
		Newer:         sc.newerThan,
		SoftDeadline:  fs.duration("soft"),
		HardDeadline:  fs.duration("hard"),
		MinCoverage:   float64(fs.number("leastPercent")) / 100,
		AtMostOnce:    fs.has("once"),
		HitLimit:      fs.number("limit"),
		Chooser:       firstUntried{},
		HedgeDelay:    fs.duration("hedgeDelay"),
		LostDelay:     fs.duration("lostDelay"),
		HedgeBudget:   sc.tokens,
		RetryBudget:   sc.tokens,
		RetryPerShard: fs.number("perShard"),
		MinTimeLeft:   fs.duration("leastTime"),
	}
	return err
}

func (sc *script) newerThan(version uint64) (view.Snapshot, bool) {
	return sc.newer, sc.newer.Version > version
}

func (sc *script) write(actions []search.Action) {
	for _, ac := range actions {
		sc.out.WriteString(outPrefix + actionText(ac) + "\n")
	}
}

func actionText(ac search.Action) string {
	switch ac.Kind {
	case search.ActSend:
		text := fmt.Sprintf("send sub=%d %s server=%d shard=%d snapshot=%d deadline=%v",
			ac.Sub.Attempt, attemptText(ac.Attempt), ac.Server, ac.Shard, ac.Snapshot, ac.Deadline)
		if ac.Reason != "" {
			text += " after=" + ac.Reason
		}
		return text
	case search.ActCancel:
		return fmt.Sprintf("cancel sub=%d server=%d", ac.Sub.Attempt, ac.Server)
	case search.ActWake:
		return fmt.Sprintf("wake at=%v", ac.At)
	default:
		return answerText(ac.Answer)
	}
}

func attemptText(at search.Attempt) string {
	return [...]string{"none", "primary", "hedge", "retry"}[at]
}

func answerText(an *search.Answer) string {
	outcome := [...]string{"none", "complete", "partial", "notRun", "unknown"}[an.Outcome]
	text := fmt.Sprintf("answer %s coverage=%d/%d snapshot=%d work=%d+%d+%d",
		outcome, an.Answered, an.Shards, an.Snapshot, an.Primaries, an.Hedges, an.Retries)
	if an.Reason != "" {
		text += " reason=" + an.Reason
	}
	if an.RetryAfter > 0 {
		text += fmt.Sprintf(" retryAfter=%v", an.RetryAfter)
	}
	if an.Restarted {
		text += " restarted"
	}
	if an.Truncated {
		text += " truncated"
	}
	members := make([]string, len(an.Hits))
	for i, hi := range an.Hits {
		members[i] = hi.Member
	}
	return text + " hits=" + strings.Join(members, ",")
}
