package node

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/change"
	"laburnumvane/core/spread"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/oper"
	"laburnumvane/io/plat"
	"laburnumvane/io/wire"
)

const (
	// changePatience bounds a change from its arrival to its result. It leaves
	// room for a read and a swap at a service that is slow by 10 s.
	changePatience = 45 * time.Second
	// firstTry bounds the first call of a change; each later one may take
	// twice as long. A kept connection that went silent costs little so.
	firstTry      = 3 * time.Second
	changeIDBytes = 10
)

// Config is the team's configuration in force on this VM.
func (nd *Node) Config(name string) (wire.ConfigReply, bool) {
	tm, ok := nd.view.Load().Team(name)
	if !ok {
		return wire.ConfigReply{}, false
	}
	return configReply(name, heldEntry(tm)), true
}

func configReply(name string, et change.Entry) wire.ConfigReply {
	return wire.ConfigReply{Team: name, Revision: et.Revision, ChangeID: et.ID, Document: et.Document}
}

func heldEntry(tm view.Team) change.Entry {
	return change.Entry{ID: tm.ChangeID, Revision: tm.Revision, Document: tm.Raw}
}

// Change proposes an operator's change and settles what became of it.
func (nd *Node) Change(_ context.Context, pr oper.Proposal) (wire.ChangeReply, error) {
	if _, err := team.Parse(pr.Team, pr.Document); err != nil {
		return wire.ChangeReply{}, err
	}
	pl := change.Proposal{
		ID: pr.ID, Team: pr.Team, Actor: pr.Actor, UnixMs: time.Now().UnixMilli(),
		Document: pr.Document, Expect: pr.Expect, DryRun: pr.DryRun,
	}
	if pl.ID == "" {
		pl.ID, pl.Fresh = newChangeID(), true
	}
	oc := nd.propose(pl)
	var ce *change.Error
	if errors.As(oc.Err, &ce) && ce.Kind == change.KindInvalid {
		return wire.ChangeReply{}, oc.Err
	}
	nd.meter.Count(meter.Change, string(oc.Result))
	nd.logChange(pl, oc)
	if oc.Result == change.ResultAccepted && len(oc.Entry.Document) > 0 {
		nd.post(configEvent{ev: spread.Accepted{Update: updateOf(pl.Team, oc.Entry)}})
	}
	return changeReply(pl, oc), nil
}

// newChangeID is random: clocks and counters of two VMs may coincide, and the
// same id for two changes would make one of them vanish.
func newChangeID() string {
	id := make([]byte, changeIDBytes)
	// Read never fails: the program would end.
	_, _ = cryptorand.Read(id)
	return hex.EncodeToString(id)
}

// propose runs a proposer to its end. It does not follow the operator's
// connection: a change that was begun is better settled than broken off.
func (nd *Node) propose(pl change.Proposal) change.Outcome {
	held, _ := nd.view.Load().Team(pl.Team)
	cl := changeCalls{nd: nd, deadline: time.Since(nd.started) + changePatience}
	pr := change.NewProposer(change.Config{
		Proposal: pl,
		Held:     heldEntry(held),
		Deadline: cl.deadline,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	acts := pr.Step(cl.now(), change.Begin{})
	for {
		oc, ev := cl.run(acts)
		if ev == nil {
			return oc
		}
		acts = pr.Step(cl.now(), ev)
	}
}

// changeCalls makes the calls of one change, one at a time.
type changeCalls struct {
	nd       *Node
	deadline time.Duration
	tries    int
}

// now is the time of the VM; once it stops, no change has any time left.
func (cl *changeCalls) now() time.Duration {
	if cl.nd.stopping.Err() != nil {
		return cl.deadline
	}
	return time.Since(cl.nd.started)
}

// run does what the proposer asked for and returns what came of it; a nil event
// comes with the outcome, at the end.
func (cl *changeCalls) run(acts []change.Action) (change.Outcome, change.Event) {
	wake := cl.deadline
	for _, ac := range acts {
		switch ac := ac.(type) {
		case change.Report:
			return ac.Outcome, nil
		case change.Get:
			return change.Outcome{}, cl.get(ac)
		case change.Swap:
			return change.Outcome{}, cl.swap(ac)
		case change.Wake:
			wake = ac.At
		}
	}
	pause(cl.nd.stopping, wake-cl.now())
	return change.Outcome{}, change.Tick{}
}

func (cl *changeCalls) get(ac change.Get) change.Event {
	ctx, cancel := cl.bounded()
	defer cancel()
	cl.nd.meter.Count(meter.Platform, "get")
	pair, _, err := cl.nd.kv.Get(ctx, ac.Key)
	if err != nil {
		cl.nd.platformFailed(cl.nd.stopping, "get", err)
		return change.GetFailed{Err: err}
	}
	return change.Got{Pair: change.Pair{Value: pair.Value, Revision: pair.Revision}}
}

func (cl *changeCalls) swap(ac change.Swap) change.Event {
	ctx, cancel := cl.bounded()
	defer cancel()
	cl.nd.meter.Count(meter.Platform, "swap")
	rp, err := cl.nd.kv.Swap(ctx, wire.KVSwapRequest{Key: ac.Key, Value: ac.Value, Expect: ac.Expect})
	if err != nil {
		cl.nd.platformFailed(cl.nd.stopping, "swap", err)
		return change.SwapFailed{Doubtful: doubtful(err), Err: err}
	}
	ev := change.Swapped{Done: rp.Swapped}
	if rp.Current != nil {
		ev.Pair = change.Pair{Value: rp.Current.Value, Revision: rp.Current.Revision}
	}
	return ev
}

// bounded gives a call its share of the time left.
func (cl *changeCalls) bounded() (context.Context, context.CancelFunc) {
	d := min(firstTry<<cl.tries, configPatience, cl.deadline-cl.now())
	cl.tries++
	return context.WithTimeout(cl.nd.stopping, d)
}

// doubtful tells whether a failed swap may have taken effect; only a failure to
// connect proves that it has not.
func doubtful(err error) bool {
	var pe *plat.Error
	return !errors.As(err, &pe) || pe.Doubtful
}

func (nd *Node) logChange(pl change.Proposal, oc change.Outcome) {
	nd.log.Info().Str("team", pl.Team).Str("change", pl.ID).Str("actor", pl.Actor).
		Str("result", string(oc.Result)).Uint64("revision", oc.Entry.Revision).Int("swaps", oc.Swaps).
		Bool("serviceBehind", oc.Behind).AnErr("cause", oc.Err).Msg("change")
}

func changeReply(pl change.Proposal, oc change.Outcome) wire.ChangeReply {
	reply := wire.ChangeReply{Result: wire.ChangeResult(oc.Result), ChangeID: pl.ID, Revision: oc.Entry.Revision}
	if oc.Err != nil {
		reply.Message = oc.Err.Error()
	}
	if oc.Current.Revision == 0 {
		return reply
	}
	reply.Revision = oc.Current.Revision
	if oc.Result == change.ResultConflict {
		current := configReply(pl.Team, oc.Current)
		reply.Current = &current
	}
	return reply
}

// History lists a team's last changes from the key-value service.
func (nd *Node) History(ctx context.Context, name string) (wire.HistoryReply, error) {
	reply := wire.HistoryReply{Team: name, Entries: []wire.HistoryEntry{}}
	pair, found, err := nd.kv.Get(ctx, change.KeyOf(name))
	if err != nil || !found {
		return reply, err
	}
	en, err := change.Decode(pair.Value)
	if err != nil {
		return reply, err
	}
	for _, et := range en.Changes {
		reply.Entries = append(reply.Entries, wire.HistoryEntry{
			Revision: et.Revision,
			ChangeID: et.ID,
			Actor:    et.Actor,
			UnixMs:   et.UnixMs,
			Document: et.Document,
		})
	}
	return reply, nil
}

func (nd *Node) newID() string {
	return strconv.FormatUint(nd.set.Incarnation, 36) + "-" + strconv.FormatUint(nd.requests.Add(1), 36)
}
