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
	// changeTimeout bounds a change from its arrival to its result. It leaves time for a read
	// and a swap at a key-value service that needs 10 s for each.
	changeTimeout = 45 * time.Second
	// firstCallTimeout bounds the first call of a change; each later call may take twice as
	// long as the one before. A short first timeout limits the time lost on a kept-alive
	// connection that no longer responds.
	firstCallTimeout = 3 * time.Second
	changeIDBytes    = 10
)

// Config returns a team's configuration in force on this VM, or false if there is none.
func (nd *Node) Config(name string) (wire.ConfigReply, bool) {
	tm, ok := nd.view.Load().Team(name)
	if !ok {
		return wire.ConfigReply{}, false
	}
	return configReply(name, entryInForce(tm)), true
}

func configReply(name string, et change.Entry) wire.ConfigReply {
	return wire.ConfigReply{Team: name, Revision: et.Revision, ChangeID: et.ID, Document: et.Document}
}

func entryInForce(tm view.Team) change.Entry {
	return change.Entry{ID: tm.ChangeID, Revision: tm.Revision, Document: tm.Raw}
}

// Change proposes an operator's change and returns its result. The error reports an invalid
// document or proposal; every other outcome is in the reply.
func (nd *Node) Change(_ context.Context, pr oper.Proposal) (wire.ChangeReply, error) {
	if _, err := team.Parse(pr.Team, pr.Document); err != nil {
		return wire.ChangeReply{}, err
	}
	pl := change.Proposal{
		ID: pr.ID, Team: pr.Team, Actor: pr.Actor, UnixMs: time.Now().UnixMilli(),
		Document: pr.Document, Expect: pr.Expect, DryRun: pr.DryRun,
	}
	if pl.ID == "" {
		pl.ID, pl.NewID = newChangeID(), true
	}
	oc := nd.propose(pl)
	var ce *change.Error
	if errors.As(oc.Err, &ce) && ce.Kind == change.KindInvalid {
		return wire.ChangeReply{}, oc.Err
	}
	nd.meter.Count(meter.Change, string(oc.Result))
	nd.logChange(pl, oc)
	if oc.Result == change.ResultAccepted && len(oc.Entry.Document) > 0 {
		nd.post(configEvent{ev: spread.Accepted{Update: updateFromEntry(pl.Team, oc.Entry)}})
	}
	return changeReply(pl, oc), nil
}

// newChangeID returns a random id. Ids made of clocks or counters may be the same on two VMs,
// and then one of the two changes would be lost.
func newChangeID() string {
	id := make([]byte, changeIDBytes)
	// Read never returns an error; it ends the program instead.
	_, _ = cryptorand.Read(id)
	return hex.EncodeToString(id)
}

// propose runs a proposer until it reports an outcome. It does not stop when the operator's
// connection closes, because a change that has begun should reach a known outcome.
func (nd *Node) propose(pl change.Proposal) change.Outcome {
	held, _ := nd.view.Load().Team(pl.Team)
	cl := changeCalls{nd: nd, deadline: time.Since(nd.started) + changeTimeout}
	pr := change.NewProposer(change.Config{
		Proposal: pl,
		InForce:  entryInForce(held),
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

// changeCalls makes the calls of one change to the key-value service, one at a time.
type changeCalls struct {
	nd       *Node
	deadline time.Duration
	calls    int
}

// now returns the time since the VM's start, or the deadline once the VM stops, so that changes
// end then.
func (cl *changeCalls) now() time.Duration {
	if cl.nd.stopping.Err() != nil {
		return cl.deadline
	}
	return time.Since(cl.nd.started)
}

// run performs the proposer's actions and returns the event that results. At the end the event
// is nil and the outcome is valid.
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
	sleep(cl.nd.stopping, wake-cl.now())
	return change.Outcome{}, change.Tick{}
}

func (cl *changeCalls) get(ac change.Get) change.Event {
	ctx, cancel := cl.callContext()
	defer cancel()
	cl.nd.meter.Count(meter.Platform, "get")
	pair, _, err := cl.nd.kv.Get(ctx, ac.Key)
	if err != nil {
		cl.nd.notePlatformFailure(cl.nd.stopping, "get", err)
		return change.GetFailed{Err: err}
	}
	return change.Got{Pair: change.Pair{Value: pair.Value, Revision: pair.Revision}}
}

func (cl *changeCalls) swap(ac change.Swap) change.Event {
	ctx, cancel := cl.callContext()
	defer cancel()
	cl.nd.meter.Count(meter.Platform, "swap")
	rp, err := cl.nd.kv.Swap(ctx, wire.KVSwapRequest{Key: ac.Key, Value: ac.Value, Expect: ac.Expect})
	if err != nil {
		cl.nd.notePlatformFailure(cl.nd.stopping, "swap", err)
		return change.SwapFailed{MayHaveApplied: mayHaveApplied(err), Err: err}
	}
	ev := change.Swapped{Done: rp.Swapped}
	if rp.Current != nil {
		ev.Pair = change.Pair{Value: rp.Current.Value, Revision: rp.Current.Revision}
	}
	return ev
}

// callContext returns the context of the next call, with its timeout.
func (cl *changeCalls) callContext() (context.Context, context.CancelFunc) {
	d := min(firstCallTimeout<<cl.calls, kvTimeout, cl.deadline-cl.now())
	cl.calls++
	return context.WithTimeout(cl.nd.stopping, d)
}

// mayHaveApplied reports whether a failed swap may have taken effect. Only a failure to connect
// proves that it has not.
func mayHaveApplied(err error) bool {
	var pe *plat.Error
	return !errors.As(err, &pe) || pe.MayHaveApplied
}

func (nd *Node) logChange(pl change.Proposal, oc change.Outcome) {
	nd.log.Info().Str("team", pl.Team).Str("change", pl.ID).Str("actor", pl.Actor).
		Str("result", string(oc.Result)).Uint64("revision", oc.Entry.Revision).Int("swaps", oc.Swaps).
		Bool("serviceBehind", oc.ServiceBehind).AnErr("cause", oc.Err).Msg("change")
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

// History returns a team's last changes from the key-value service.
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

func (nd *Node) newRequestID() string {
	return strconv.FormatUint(nd.set.Incarnation, 36) + "-" + strconv.FormatUint(nd.requests.Add(1), 36)
}
