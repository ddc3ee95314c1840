package change

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/team"
)

// Pauses between calls that failed, in full jitter.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
	// unseenReads is how often the value is read again when the operator has
	// seen a newer revision than the service shows.
	unseenReads = 3
	// regressionGap is left free above the fleet's revision when the service
	// is behind it: this VM may itself be some changes behind the fleet, and no
	// two changes may ever share a revision.
	regressionGap = 1000
	maxIDLen      = 64
	maxActorLen   = 64
)

// Proposal is an operator's change.
type Proposal struct {
	ID string
	// Fresh is set if the id was made for this very proposal, so that no
	// earlier attempt can have used it.
	Fresh    bool
	Team     string
	Actor    string
	UnixMs   int64
	Document []byte
	// Expect is the revision that the change was made from; nil means any.
	Expect *uint64
	DryRun bool
}

// Config sets a Proposer.
type Config struct {
	Proposal Proposal
	// Held is the team's change in force on this VM; the zero value if none.
	// Its revision is the least that a new one must exceed.
	Held Entry
	// Deadline is when the machine reports whatever it knows.
	Deadline time.Duration
	Rand     *rand.Rand
}

// Proposer carries one change to the service and settles what became of it. It
// is not safe for concurrent use.
type Proposer struct {
	cfg     Config
	phase   phase
	based   bool
	base    Envelope
	expect  uint64
	value   []byte
	entry   Entry
	doubt   bool
	behind  bool
	pauses  int
	rereads int
	swaps   int
	lastErr error
}

type phase uint8

const (
	phaseNew phase = iota
	phaseGet
	phaseSwap
	phasePause
	phaseDone
)

// NewProposer makes a machine that waits for Begin.
func NewProposer(cfg Config) *Proposer {
	return &Proposer{cfg: cfg}
}

// Step takes an event and tells what to do. After a Report it asks for nothing.
func (pr *Proposer) Step(now time.Duration, ev Event) []Action {
	if pr.phase == phaseDone {
		return nil
	}
	if _, ok := ev.(Begin); ok {
		return pr.begin()
	}
	_, ticked := ev.(Tick)
	underWay := ticked && pr.phase == phaseSwap
	acts := pr.take(now, ev)
	if pr.phase != phaseDone && now >= pr.cfg.Deadline {
		return pr.giveUp(underWay)
	}
	return acts
}

func (pr *Proposer) take(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		if pr.phase == phasePause {
			return pr.read()
		}
	case Got:
		if pr.phase == phaseGet {
			return pr.judge(now, ev.Pair, false)
		}
	case GetFailed:
		if pr.phase == phaseGet {
			return pr.pause(now, ev.Err)
		}
	case Swapped:
		if pr.phase == phaseSwap {
			return pr.swapped(now, ev)
		}
	case SwapFailed:
		if pr.phase == phaseSwap {
			pr.doubt = pr.doubt || ev.Doubtful
			return pr.pause(now, ev.Err)
		}
	}
	return nil
}

func (pr *Proposer) begin() []Action {
	if err := pr.validate(); err != nil {
		return pr.report(Outcome{Result: ResultRefused, Err: err})
	}
	return append(pr.read(), Wake{At: pr.cfg.Deadline})
}

func (pr *Proposer) validate() error {
	pl := pr.cfg.Proposal
	var err error
	switch {
	case !validID(pl.ID):
		err = errors.Errorf("id must be 1 to %d letters, digits, dots, dashes or underscores", maxIDLen)
	case len(pl.Document) > MaxDocument:
		err = errors.Errorf("document has %d bytes, the limit is %d", len(pl.Document), MaxDocument)
	default:
		_, err = team.Parse(pl.Team, pl.Document)
	}
	if err == nil {
		return nil
	}
	return &Error{Op: "change.Proposer", Kind: KindInvalid, Err: err}
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDLen {
		return false
	}
	for _, ch := range []byte(id) {
		switch {
		case ch >= 'a' && ch <= 'z', ch >= 'A' && ch <= 'Z', ch >= '0' && ch <= '9', ch == '.', ch == '-', ch == '_':
		default:
			return false
		}
	}
	return true
}

func (pr *Proposer) read() []Action {
	pr.phase = phaseGet
	return []Action{Get{Key: KeyOf(pr.cfg.Proposal.Team)}}
}

func (pr *Proposer) pause(now time.Duration, err error) []Action {
	pr.phase = phasePause
	pr.lastErr = err
	limit := min(firstPause<<pr.pauses, maxPause)
	if limit < maxPause {
		pr.pauses++
	}
	at := now + limit/2 + time.Duration(pr.cfg.Rand.Int64N(int64(limit)))
	return []Action{Wake{At: min(at, pr.cfg.Deadline)}}
}

func (pr *Proposer) swapped(now time.Duration, ev Swapped) []Action {
	if ev.Done {
		return pr.report(Outcome{Result: ResultAccepted, Entry: pr.entry})
	}
	return pr.judge(now, ev.Pair, true)
}

// judge decides by what the service holds. Sure is set if the value came with
// the answer to a swap, which a service cannot give from the past.
func (pr *Proposer) judge(now time.Duration, pair Pair, sure bool) []Action {
	en, err := decodePair(pair)
	if err != nil {
		return pr.unreadable(err)
	}
	if et, ok := en.Find(pr.cfg.Proposal.ID); ok {
		return pr.found(et, en)
	}
	if !pr.based {
		return pr.propose(now, pair, en)
	}
	if sure && pr.behind && !pr.doubt {
		// The first read was from the past; nothing has come of it, and this
		// is the present.
		return pr.propose(now, pair, en)
	}
	return pr.settle(now, pair, en, sure)
}

func decodePair(pair Pair) (Envelope, error) {
	if pair.Revision == 0 {
		return Envelope{}, nil
	}
	return Decode(pair.Value)
}

// unreadable ends the proposal: writing over a value that this build cannot
// read would lose what a newer build put there.
func (pr *Proposer) unreadable(err error) []Action {
	if pr.doubt {
		return pr.report(Outcome{Result: ResultUnknown, Err: err})
	}
	return pr.report(Outcome{Result: ResultRefused, Err: err})
}

// found handles an id that is in the history: this proposal took effect, maybe
// through another attempt, unless the id was used for another document.
func (pr *Proposer) found(et Entry, en Envelope) []Action {
	if et.Same(pr.cfg.Proposal.Document) {
		return pr.report(Outcome{Result: ResultAccepted, Entry: et})
	}
	return pr.conflict(en, errors.Errorf("the id %s names another change", et.ID))
}

// propose makes the first swap from what the service holds.
func (pr *Proposer) propose(now time.Duration, pair Pair, en Envelope) []Action {
	pl := pr.cfg.Proposal
	seen := max(en.Revision(), pr.cfg.Held.Revision)
	pr.behind = en.Revision() < pr.cfg.Held.Revision
	if pl.Expect != nil && *pl.Expect > seen && pr.rereads < unseenReads {
		// The operator has seen more than this read shows, which may be from
		// the past: a conflict now would be with a change long replaced.
		pr.rereads++
		return pr.pause(now, errors.Errorf("revision %d is not known yet", *pl.Expect))
	}
	if pl.Expect != nil && *pl.Expect != seen {
		return pr.outdated(en, *pl.Expect)
	}
	if pl.Expect == nil && !pl.Fresh && en.Cut > 0 {
		return pr.report(Outcome{Result: ResultUnknown, Err: errors.New("the history no longer tells whether the id was used; give the revision that the change was made from")})
	}
	if pl.DryRun {
		return pr.report(Outcome{Result: ResultDryRun, Current: pr.highest(en)})
	}
	return pr.swap(pair, en)
}

// outdated ends a proposal that was made from another revision. An id that was
// used before may have taken effect and left the history since.
func (pr *Proposer) outdated(en Envelope, expect uint64) []Action {
	if !pr.cfg.Proposal.Fresh && !en.WholeSince(expect) {
		return pr.report(Outcome{Result: ResultUnknown, Err: errors.Errorf("the history no longer reaches back to revision %d", expect)})
	}
	return pr.conflict(en, errors.Errorf("made from revision %d", expect))
}

func (pr *Proposer) swap(pair Pair, en Envelope) []Action {
	pl := pr.cfg.Proposal
	floor := pr.cfg.Held.Revision
	if pr.behind {
		floor += regressionGap
	}
	next := en.WithChange(Entry{ID: pl.ID, Actor: clip(pl.Actor), UnixMs: pl.UnixMs, Document: compact(pl.Document)}, floor)
	value, err := next.Encode()
	if err != nil {
		return pr.report(Outcome{Result: ResultRefused, Err: err})
	}
	pr.based, pr.base, pr.expect, pr.value = true, en, pair.Revision, value
	pr.entry, _ = next.Current()
	return pr.send()
}

func clip(actor string) string {
	return actor[:min(len(actor), maxActorLen)]
}

func (pr *Proposer) send() []Action {
	pr.phase = phaseSwap
	pr.swaps++
	return []Action{Swap{Key: KeyOf(pr.cfg.Proposal.Team), Value: pr.value, Expect: pr.expect}}
}

// settle decides after a swap that was not done, or whose answer was lost. The
// id is not in the history of en.
func (pr *Proposer) settle(now time.Duration, pair Pair, en Envelope, sure bool) []Action {
	switch {
	case sure && pair.Revision < pr.expect:
		return pr.lost(en)
	case sure && pair.Revision == pr.expect:
		return pr.pause(now, errors.New("the service refused a swap that it should have done"))
	case pair.Revision <= pr.expect:
		// Not yet, or a read from the past. Sending the very same swap again
		// cannot act twice: both expect the same revision of the key, and the
		// service grants it once.
		return pr.send()
	case sameChange(en, pr.base):
		// The key was written without a new change, as when a VM gave the
		// service back what it had lost. A swap that is still under way can no
		// longer succeed.
		return pr.swap(pair, en)
	case en.Revision() <= pr.base.Revision():
		return pr.lost(en)
	case !pr.doubt || en.WholeSince(pr.base.Revision()):
		return pr.conflict(en, errors.New("another change came first"))
	default:
		return pr.report(Outcome{Result: ResultUnknown, Err: errors.New("the history was cut since; it no longer tells")})
	}
}

// lost handles a service that holds less than it did before.
func (pr *Proposer) lost(en Envelope) []Action {
	pr.behind = true
	if !pr.doubt {
		return pr.conflict(en, errors.New("the service lost changes meanwhile"))
	}
	return pr.report(Outcome{Result: ResultUnknown, Err: errors.New("the service lost changes meanwhile")})
}

func sameChange(a, b Envelope) bool {
	ca, _ := a.Current()
	cb, _ := b.Current()
	return ca.Revision == cb.Revision && ca.ID == cb.ID
}

func (pr *Proposer) conflict(en Envelope, err error) []Action {
	return pr.report(Outcome{Result: ResultConflict, Current: pr.highest(en), Err: err})
}

// highest is the newest change known, from the service or from this VM.
func (pr *Proposer) highest(en Envelope) Entry {
	cur, _ := en.Current()
	if pr.cfg.Held.Revision > cur.Revision {
		return pr.cfg.Held
	}
	return cur
}

// giveUp reports at the deadline. A swap that is still under way may yet act;
// one that this step would have asked for was never sent.
func (pr *Proposer) giveUp(underWay bool) []Action {
	if pr.doubt || underWay {
		return pr.report(Outcome{Result: ResultUnknown, Err: pr.late()})
	}
	return pr.report(Outcome{Result: ResultRefused, Err: pr.late()})
}

func (pr *Proposer) late() error {
	if pr.lastErr != nil {
		return errors.Wrap(pr.lastErr, "no answer in time")
	}
	return errors.New("no answer in time")
}

func (pr *Proposer) report(oc Outcome) []Action {
	pr.phase = phaseDone
	oc.Behind = pr.behind
	oc.Swaps = pr.swaps
	return []Action{Report{Outcome: oc}}
}
