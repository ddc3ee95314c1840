package node

import (
	"context"

	"laburnumvane/core/spread"
	"laburnumvane/core/view"
	"laburnumvane/io/inner"
)

// Push receives configuration from another VM.
func (ps *peerService) Push(_ context.Context, rq *inner.PushRequest) (*inner.PushReply, error) {
	if err := ps.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	ps.nd.post(configEvent{ev: spread.Pushed{From: rankVMFromWire(rq.GetFrom()), Updates: ps.nd.updatesFromWire(rq.GetTeams())}})
	return &inner.PushReply{Version: inner.Version}, nil
}

// Pull returns what this VM holds. Depending on the request that is only its digest, its
// revisions in force, a survey of its data centre, or the documents that the caller lacks.
func (ps *peerService) Pull(ctx context.Context, rq *inner.PullRequest) (*inner.PullReply, error) {
	if err := ps.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	nd := ps.nd
	dg := nd.configDigest()
	rp := &inner.PullReply{Version: inner.Version, From: nd.self(), Digest: dg.Hash, Highest: dg.Sum}
	switch {
	case rq.GetCompare():
		nd.receiveDigest(rq.GetFrom(), rq.GetDigest(), rq.GetHighest())
	case rq.GetSurvey():
		rp.Survey = nd.survey(ctx, rq.GetTeams())
	case rq.GetBrief():
		rp.Held = revisionsInForce(nd.view.Load(), rq.GetTeams())
		rp.Change = nd.changeByID(rq.GetChangeId())
	default:
		ps.answer(rq, rp)
	}
	return rp, nil
}

// answer adds the documents that the caller lacks. They come from the state machine and not
// from the view, since a VM also passes on documents that it cannot parse itself, and those are
// not in its view.
func (ps *peerService) answer(rq *inner.PullRequest, rp *inner.PullReply) {
	held := make([]spread.Revision, 0, len(rq.GetHeld()))
	for _, tr := range rq.GetHeld() {
		held = append(held, spread.Revision{Team: tr.GetTeam(), Revision: tr.GetRevision(), ChangeID: tr.GetChangeId()})
	}
	var ups []spread.Update
	ps.nd.onControl(func(ct *control) { ups, rp.More = ct.configs.machine.MissingFrom(held) })
	for _, up := range ups {
		rp.Teams = append(rp.Teams, updateToWire(up))
	}
}

// revisionsInForce lists the revisions in force on this VM of the named teams, or of all teams
// if no names are given.
func revisionsInForce(vw *view.View, names []string) []*inner.TeamRevision {
	var out []*inner.TeamRevision
	if len(names) > 0 {
		for _, name := range names {
			if tm, ok := vw.Team(name); ok {
				out = append(out, &inner.TeamRevision{Team: name, Revision: tm.Revision, ChangeId: tm.ChangeID})
			}
		}
		return out
	}
	for name, tm := range vw.Teams {
		out = append(out, &inner.TeamRevision{Team: name, Revision: tm.Revision, ChangeId: tm.ChangeID})
	}
	return out
}

// changeByID returns the change with an id, or nil if this VM does not know it.
func (nd *Node) changeByID(id string) *inner.TeamRevision {
	if id == "" {
		return nil
	}
	var rv spread.Revision
	var ok bool
	nd.onControl(func(ct *control) { rv, ok = ct.configs.machine.FindChange(id) })
	if !ok {
		return nil
	}
	return revisionToWire(rv)
}
