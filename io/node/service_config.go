package node

import (
	"context"

	"laburnumvane/core/spread"
	"laburnumvane/core/view"
	"laburnumvane/io/inner"
)

// Push takes configuration from another VM.
func (se *service) Push(_ context.Context, rq *inner.PushRequest) (*inner.PushReply, error) {
	if err := se.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	se.nd.post(configEvent{ev: spread.Pushed{From: rankOf(rq.GetFrom()), Updates: se.nd.updatesIn(rq.GetTeams())}})
	return &inner.PushReply{Version: inner.Version}, nil
}

// Pull tells what this VM holds: its digest only, its revisions in force, a
// survey of its data centre, or the documents that the caller lacks.
func (se *service) Pull(ctx context.Context, rq *inner.PullRequest) (*inner.PullReply, error) {
	if err := se.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	nd := se.nd
	dg := nd.configDigest()
	rp := &inner.PullReply{Version: inner.Version, From: nd.self(), Digest: dg.Hash, Highest: dg.Sum}
	switch {
	case rq.GetCompare():
		nd.digestSeen(rq.GetFrom(), rq.GetDigest(), rq.GetHighest())
	case rq.GetSurvey():
		rp.Survey = nd.survey(ctx, rq.GetTeams())
	case rq.GetBrief():
		rp.Held = inForce(nd.view.Load(), rq.GetTeams())
		rp.Change = nd.changeNamed(rq.GetChangeId())
	default:
		se.answer(rq, rp)
	}
	return rp, nil
}

// answer adds what the caller lacks. A VM passes on also what it cannot read
// itself, which its view does not have; so the machine answers.
func (se *service) answer(rq *inner.PullRequest, rp *inner.PullReply) {
	held := make([]spread.Revision, 0, len(rq.GetHeld()))
	for _, tr := range rq.GetHeld() {
		held = append(held, spread.Revision{Team: tr.GetTeam(), Revision: tr.GetRevision(), ChangeID: tr.GetChangeId()})
	}
	var ups []spread.Update
	se.nd.ask(func(ct *control) { ups, rp.More = ct.conf.ma.Answer(held) })
	for _, up := range ups {
		rp.Teams = append(rp.Teams, messageOf(up))
	}
}

// inForce lists the revisions that this VM works by, of some teams or of all.
func inForce(vw *view.View, names []string) []*inner.TeamRevision {
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

// changeNamed finds a change by its id; nil if this VM does not know it.
func (nd *Node) changeNamed(id string) *inner.TeamRevision {
	if id == "" {
		return nil
	}
	var rv spread.Revision
	var ok bool
	nd.ask(func(ct *control) { rv, ok = ct.conf.ma.Find(id) })
	if !ok {
		return nil
	}
	return revisionOf(rv)
}
