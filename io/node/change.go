package node

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/change"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/oper"
	"laburnumvane/io/plat"
	"laburnumvane/io/wire"
)

// Config is the team's configuration in force on this VM.
func (nd *Node) Config(name string) (wire.ConfigReply, bool) {
	tm, ok := nd.view.Load().Team(name)
	if !ok {
		return wire.ConfigReply{}, false
	}
	return configReply(name, tm), true
}

func configReply(name string, tm view.Team) wire.ConfigReply {
	return wire.ConfigReply{Team: name, Revision: tm.Revision, ChangeID: tm.ChangeID, Document: encodeDocument(tm.Document)}
}

// Change proposes an operator's change and settles what became of it.
func (nd *Node) Change(ctx context.Context, pr oper.Proposal) (wire.ChangeReply, error) {
	if _, err := team.Parse(pr.Team, pr.Document); err != nil {
		return wire.ChangeReply{}, err
	}
	if pr.ID == "" {
		pr.ID = nd.newID()
	}
	reply := nd.propose(ctx, pr)
	nd.meter.Count(meter.Change, string(reply.Result))
	return reply, nil
}

func (nd *Node) propose(ctx context.Context, pr oper.Proposal) wire.ChangeReply {
	key := change.KeyOf(pr.Team)
	pair, found, err := nd.kv.Get(ctx, key)
	if err != nil {
		return wire.ChangeReply{Result: wire.ChangeConflict, ChangeID: pr.ID, Message: "nothing was written: " + err.Error()}
	}
	var en change.Envelope
	if found {
		if en, err = change.Decode(pair.Value); err != nil {
			return wire.ChangeReply{Result: wire.ChangeConflict, ChangeID: pr.ID, Message: err.Error()}
		}
	}
	if pr.Expect != nil && *pr.Expect != en.Revision() {
		return conflict(pr, en)
	}
	if pr.DryRun {
		return wire.ChangeReply{Result: wire.ChangeDryRun, ChangeID: pr.ID, Revision: en.Revision()}
	}
	held, _ := nd.view.Load().Team(pr.Team)
	next := en.WithChange(change.Entry{ID: pr.ID, Actor: pr.Actor, UnixMs: time.Now().UnixMilli(), Document: pr.Document}, held.Revision)
	return nd.swap(ctx, pr, key, pair.Revision, next)
}

func (nd *Node) swap(ctx context.Context, pr oper.Proposal, key string, expect uint64, next change.Envelope) wire.ChangeReply {
	value, err := next.Encode()
	if err != nil {
		return wire.ChangeReply{Result: wire.ChangeConflict, ChangeID: pr.ID, Message: err.Error()}
	}
	rp, err := nd.kv.Swap(ctx, wire.KVSwapRequest{Key: key, Value: value, Expect: expect})
	var pe *plat.Error
	switch {
	case errors.As(err, &pe) && !pe.Doubtful:
		return wire.ChangeReply{Result: wire.ChangeConflict, ChangeID: pr.ID, Message: "nothing was written: " + err.Error()}
	case err != nil:
		return wire.ChangeReply{Result: wire.ChangeUnknown, ChangeID: pr.ID, Message: err.Error()}
	case !rp.Swapped:
		en := change.Envelope{}
		if rp.Current != nil {
			en, _ = change.Decode(rp.Current.Value)
		}
		return conflict(pr, en)
	}
	cur, _ := next.Current()
	nd.post(configSeen{team: pr.Team, entry: cur})
	return wire.ChangeReply{Result: wire.ChangeAccepted, ChangeID: pr.ID, Revision: cur.Revision}
}

// conflict shows the other change.
func conflict(pr oper.Proposal, en change.Envelope) wire.ChangeReply {
	reply := wire.ChangeReply{Result: wire.ChangeConflict, ChangeID: pr.ID, Message: "another change came first"}
	if cur, ok := en.Current(); ok {
		reply.Revision = cur.Revision
		reply.Current = &wire.ConfigReply{Team: pr.Team, Revision: cur.Revision, ChangeID: cur.ID, Document: cur.Document}
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
