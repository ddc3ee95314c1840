package change

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/team"
)

// Backoff between failed calls: it doubles, and the actual pause is a random time between half and
// one and a half times this value.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// maxRereads is how often the value is read again if the operator has seen a higher revision
	// than the service returns.
	maxRereads = 3
	// revisionGap is the number of revisions skipped above this VM's revision when the service is
	// behind it: this VM may itself lack some changes of the fleet, and two changes must never
	// share a revision.
	revisionGap = 1000
	maxIDLen    = 64
	maxActorLen = 64
)

// Proposal is a change proposed by an operator.
type Proposal struct {
	ID string
	// NewID is set if the id was generated for this proposal, so that no earlier attempt can have
	// used it.
	NewID    bool
	Team     string
	Actor    string
	UnixMs   int64
	Document []byte
	// Expect is the revision that the change is based on; nil means any.
	Expect *uint64
	DryRun bool
}

// Config configures a Proposer.
type Config struct {
	Proposal Proposal
	// InForce is the team's change in force on this VM; the zero value if there is none. The revision
	// of a new change must be higher.
	InForce Entry
	// Deadline is when the machine reports the result as far as known.
	Deadline time.Duration
	Rand     *rand.Rand
}

// Proposer proposes one change to the service and determines its result. It is not safe for
// concurrent use.
type Proposer struct {
	cfg            Config
	phase          phase
	proposed       bool
	base           Envelope
	expect         uint64
	value          []byte
	entry          Entry
	mayHaveApplied bool
	behind         bool
	backoffSteps   int
	rereads        int
	swaps          int
	lastErr        error
}

type phase uint8

const (
	phaseNew phase = iota
	phaseGet
	phaseSwap
	phaseBackoff
	phaseDone
)

// NewProposer returns a Proposer that waits for Begin.
func NewProposer(cfg Config) *Proposer {
	return &Proposer{cfg: cfg}
}

// Step processes an event and returns the actions to carry out. After a Report it returns nil.
func (pr *Proposer) Step(now time.Duration, ev Event) []Action {
	if pr.phase == phaseDone {
		return nil
	}
	if _, ok := ev.(Begin); ok {
		return pr.start()
	}
	_, isTick := ev.(Tick)
	swapPending := isTick && pr.phase == phaseSwap
	acts := pr.handle(now, ev)
	if pr.phase != phaseDone && now >= pr.cfg.Deadline {
		return pr.reportDeadline(swapPending)
	}
	return acts
}

func (pr *Proposer) handle(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		if pr.phase == phaseBackoff {
			return pr.getValue()
		}
	case Got:
		if pr.phase == phaseGet {
			return pr.evaluate(now, ev.Pair, false)
		}
	case GetFailed:
		if pr.phase == phaseGet {
			return pr.scheduleRetry(now, ev.Err)
		}
	case Swapped:
		if pr.phase == phaseSwap {
			return pr.handleSwapped(now, ev)
		}
	case SwapFailed:
		if pr.phase == phaseSwap {
			pr.mayHaveApplied = pr.mayHaveApplied || ev.MayHaveApplied
			return pr.scheduleRetry(now, ev.Err)
		}
	}
	return nil
}

func (pr *Proposer) start() []Action {
	if err := pr.validate(); err != nil {
		return pr.report(Outcome{Result: ResultRefused, Err: err})
	}
	return append(pr.getValue(), Wake{At: pr.cfg.Deadline})
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

func (pr *Proposer) getValue() []Action {
	pr.phase = phaseGet
	return []Action{Get{Key: KeyOf(pr.cfg.Proposal.Team)}}
}

func (pr *Proposer) scheduleRetry(now time.Duration, err error) []Action {
	pr.phase = phaseBackoff
	pr.lastErr = err
	limit := min(firstBackoff<<pr.backoffSteps, maxBackoff)
	if limit < maxBackoff {
		pr.backoffSteps++
	}
	at := now + limit/2 + time.Duration(pr.cfg.Rand.Int64N(int64(limit)))
	return []Action{Wake{At: min(at, pr.cfg.Deadline)}}
}

func (pr *Proposer) handleSwapped(now time.Duration, ev Swapped) []Action {
	if ev.Done {
		return pr.report(Outcome{Result: ResultAccepted, Entry: pr.entry})
	}
	return pr.evaluate(now, ev.Pair, true)
}

// evaluate decides by the service's value. current is set if the value came with the answer to a
// swap, which is never stale, unlike a read.
func (pr *Proposer) evaluate(now time.Duration, pair Pair, current bool) []Action {
	en, err := decodePair(pair)
	if err != nil {
		return pr.reportUnreadable(err)
	}
	if et, ok := en.Find(pr.cfg.Proposal.ID); ok {
		return pr.handleKnownID(et, en)
	}
	if !pr.proposed {
		return pr.propose(now, pair, en)
	}
	if current && pr.behind && !pr.mayHaveApplied {
		// The first read was stale and no swap has been applied, so the proposal starts again from
		// the current value.
		return pr.propose(now, pair, en)
	}
	return pr.resolve(now, pair, en, current)
}

func decodePair(pair Pair) (Envelope, error) {
	if pair.Revision == 0 {
		return Envelope{}, nil
	}
	return Decode(pair.Value)
}

// reportUnreadable ends the proposal, because overwriting a value that this build cannot read would
// lose what a newer build wrote.
func (pr *Proposer) reportUnreadable(err error) []Action {
	if pr.mayHaveApplied {
		return pr.report(Outcome{Result: ResultUnknown, Err: err})
	}
	return pr.report(Outcome{Result: ResultRefused, Err: err})
}

// handleKnownID handles an id found in the history: the proposal was accepted, possibly through
// another attempt, unless the id belongs to another document.
func (pr *Proposer) handleKnownID(et Entry, en Envelope) []Action {
	if et.SameDocument(pr.cfg.Proposal.Document) {
		return pr.report(Outcome{Result: ResultAccepted, Entry: et})
	}
	return pr.reportConflict(en, errors.Errorf("the id %s names another change", et.ID))
}

// propose requests the first swap, based on the service's value.
func (pr *Proposer) propose(now time.Duration, pair Pair, en Envelope) []Action {
	pl := pr.cfg.Proposal
	seen := max(en.Revision(), pr.cfg.InForce.Revision)
	pr.behind = en.Revision() < pr.cfg.InForce.Revision
	if pl.Expect != nil && *pl.Expect > seen && pr.rereads < maxRereads {
		// The operator has seen a higher revision than this read returned, so the read may be
		// stale. A conflict reported now could name a change that has long been replaced.
		pr.rereads++
		return pr.scheduleRetry(now, errors.Errorf("revision %d is not known yet", *pl.Expect))
	}
	if pl.Expect != nil && *pl.Expect != seen {
		return pr.reportOutdated(en, *pl.Expect)
	}
	if pl.Expect == nil && !pl.NewID && en.DroppedUpTo > 0 {
		return pr.report(Outcome{Result: ResultUnknown, Err: errors.New("the history no longer tells whether the id was used; give the revision that the change was made from")})
	}
	if pl.DryRun {
		return pr.report(Outcome{Result: ResultDryRun, Current: pr.newestKnown(en)})
	}
	return pr.prepareSwap(pair, en)
}

// reportOutdated ends a proposal that is based on another revision. A change whose id was used
// before may have been accepted and since dropped from the history.
func (pr *Proposer) reportOutdated(en Envelope, expect uint64) []Action {
	if !pr.cfg.Proposal.NewID && !en.CompleteSince(expect) {
		return pr.report(Outcome{Result: ResultUnknown, Err: errors.Errorf("the history no longer reaches back to revision %d", expect)})
	}
	return pr.reportConflict(en, errors.Errorf("made from revision %d", expect))
}

func (pr *Proposer) prepareSwap(pair Pair, en Envelope) []Action {
	pl := pr.cfg.Proposal
	floor := pr.cfg.InForce.Revision
	if pr.behind {
		floor += revisionGap
	}
	next := en.WithChange(Entry{ID: pl.ID, Actor: clip(pl.Actor), UnixMs: pl.UnixMs, Document: compact(pl.Document)}, floor)
	value, err := next.Encode()
	if err != nil {
		return pr.report(Outcome{Result: ResultRefused, Err: err})
	}
	pr.proposed, pr.base, pr.expect, pr.value = true, en, pair.Revision, value
	pr.entry, _ = next.Current()
	return pr.sendSwap()
}

func clip(actor string) string {
	return actor[:min(len(actor), maxActorLen)]
}

func (pr *Proposer) sendSwap() []Action {
	pr.phase = phaseSwap
	pr.swaps++
	return []Action{Swap{Key: KeyOf(pr.cfg.Proposal.Team), Value: pr.value, Expect: pr.expect}}
}

// resolve decides after a swap that was not applied or whose answer was lost. The history of en
// does not list the id.
func (pr *Proposer) resolve(now time.Duration, pair Pair, en Envelope, current bool) []Action {
	switch {
	case current && pair.Revision < pr.expect:
		return pr.reportDataLoss(en)
	case current && pair.Revision == pr.expect:
		return pr.scheduleRetry(now, errors.New("the service refused a swap that it should have done"))
	case pair.Revision <= pr.expect:
		// The swap is not applied yet, or the read was stale. Repeating the identical swap cannot
		// take effect twice: both expect the same revision of the key, so that the service applies
		// only one.
		return pr.sendSwap()
	case sameChange(en, pr.base):
		// The key was written without a new change, as when a VM restored what the service had
		// lost. A pending swap can no longer succeed, so a new one is safe.
		return pr.prepareSwap(pair, en)
	case en.Revision() <= pr.base.Revision():
		return pr.reportDataLoss(en)
	case !pr.mayHaveApplied || en.CompleteSince(pr.base.Revision()):
		return pr.reportConflict(en, errors.New("another change came first"))
	default:
		return pr.report(Outcome{Result: ResultUnknown, Err: errors.New("the history was cut since; it no longer tells")})
	}
}

// reportDataLoss ends the proposal if the service has lost changes since it was first read.
func (pr *Proposer) reportDataLoss(en Envelope) []Action {
	pr.behind = true
	if !pr.mayHaveApplied {
		return pr.reportConflict(en, errors.New("the service lost changes meanwhile"))
	}
	return pr.report(Outcome{Result: ResultUnknown, Err: errors.New("the service lost changes meanwhile")})
}

func sameChange(a, b Envelope) bool {
	ca, _ := a.Current()
	cb, _ := b.Current()
	return ca.Revision == cb.Revision && ca.ID == cb.ID
}

func (pr *Proposer) reportConflict(en Envelope, err error) []Action {
	return pr.report(Outcome{Result: ResultConflict, Current: pr.newestKnown(en), Err: err})
}

// newestKnown returns the newest change known, from the service or from this VM.
func (pr *Proposer) newestKnown(en Envelope) Entry {
	cur, _ := en.Current()
	if pr.cfg.InForce.Revision > cur.Revision {
		return pr.cfg.InForce
	}
	return cur
}

// reportDeadline ends the proposal at the deadline. A pending swap may still take effect; one that
// this step would have requested was never sent.
func (pr *Proposer) reportDeadline(swapPending bool) []Action {
	if pr.mayHaveApplied || swapPending {
		return pr.report(Outcome{Result: ResultUnknown, Err: pr.deadlineError()})
	}
	return pr.report(Outcome{Result: ResultRefused, Err: pr.deadlineError()})
}

func (pr *Proposer) deadlineError() error {
	if pr.lastErr != nil {
		return errors.Wrap(pr.lastErr, "no answer in time")
	}
	return errors.New("no answer in time")
}

func (pr *Proposer) report(oc Outcome) []Action {
	pr.phase = phaseDone
	oc.ServiceBehind = pr.behind
	oc.Swaps = pr.swaps
	return []Action{Report{Outcome: oc}}
}
