package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"laburnumvane/core/change"
	"laburnumvane/core/rank"
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
	"laburnumvane/io/wire"
)

const (
	// surveyTimeout bounds a survey of one data centre, surveyVMTimeout the call to one VM.
	// With maxSurveyCalls calls at a time, 330 VMs of which a tenth are dead take about a
	// second.
	surveyTimeout   = 4 * time.Second
	surveyVMTimeout = 500 * time.Millisecond
	maxSurveyCalls  = 16
	// maxSurveyorsAsked is the number of VMs of a data centre that are asked for its survey,
	// one after the other, before the data centre counts as not reachable.
	maxSurveyorsAsked = 3
	// maxMissing bounds the VMs that this VM asks itself because they are missing from the
	// survey, as when the surveying VM's list of VMs is out of date.
	maxMissing = 32
)

// ChangeStatus reports where a change is in force. One VM of each data centre is asked to survey
// that data centre: with thousands of VMs, asking each of them from here would take thousands of
// connections.
func (nd *Node) ChangeStatus(ctx context.Context, id string) wire.ChangeStatus {
	var tb *rank.Table
	nd.onControl(func(ct *control) { tb = ct.configs.machine.Table() })
	out := wire.ChangeStatus{ChangeID: id, DataCentres: []wire.ChangeStatusOfDataCentre{}, VMs: []wire.ChangeStatusOfVM{}}
	if tb == nil {
		return out
	}
	rv, ok := nd.findChange(ctx, tb, id)
	if !ok {
		return out
	}
	out.Known, out.Team, out.Revision = true, rv.GetTeam(), rv.GetRevision()
	rows := nd.surveyDataCentres(ctx, tb, out.Team)
	for _, dc := range tb.DataCentres() {
		missing := missingFrom(tb.VMs(dc), rows[dc])
		if len(rows[dc]) > 0 && len(missing) <= maxMissing {
			rows[dc] = append(rows[dc], nd.surveyVMs(ctx, missing, []string{out.Team})...)
		}
		sum, vms := summary(dc, tb.VMs(dc), rows[dc], out.Revision)
		out.DataCentres = append(out.DataCentres, sum)
		out.VMs = append(out.VMs, vms...)
	}
	return out
}

// findChange looks for a change by its id: on this VM, then on one of the ranked VMs of each
// data centre, and last in the key-value service, which has a change whose VM died right after
// writing it.
func (nd *Node) findChange(ctx context.Context, tb *rank.Table, id string) (*inner.TeamRevision, bool) {
	if rv := nd.changeByID(id); rv != nil {
		return rv, true
	}
	for _, dc := range tb.DataCentres() {
		rp, ok := nd.askRanked(ctx, tb, dc, &inner.PullRequest{Brief: true, ChangeId: id})
		if ok && rp.GetChange() != nil {
			return rp.GetChange(), true
		}
	}
	rp, err := nd.kv.Range(ctx, change.Prefix)
	if err != nil {
		nd.notePlatformFailure(ctx, "range", err)
		return nil, false
	}
	for _, pair := range rp.Pairs {
		name, _ := change.TeamOf(pair.Key)
		en, err := change.Decode(pair.Value)
		if err != nil {
			continue
		}
		if et, ok := en.Find(id); ok {
			return revisionToWire(spread.Revision{Team: name, Revision: et.Revision, ChangeID: id}), true
		}
	}
	return nil, false
}

// askRanked asks the first ranked VMs of a data centre one after the other until one answers.
func (nd *Node) askRanked(ctx context.Context, tb *rank.Table, dc string, rq *inner.PullRequest) (*inner.PullReply, bool) {
	ranked := tb.Ranked(dc)
	for _, vm := range ranked[:min(len(ranked), maxSurveyorsAsked)] {
		if rp, ok := nd.askPeer(ctx, vm, rq, surveyTimeout); ok {
			return rp, true
		}
	}
	return nil, false
}

func (nd *Node) askPeer(ctx context.Context, vm rank.VM, rq *inner.PullRequest, timeout time.Duration) (*inner.PullReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rp, err := nd.peers.To(vm.Addr).Pull(ctx, &inner.PullRequest{
		Version:  inner.Version,
		From:     nd.self(),
		Teams:    rq.GetTeams(),
		Brief:    rq.GetBrief(),
		ChangeId: rq.GetChangeId(),
		Survey:   rq.GetSurvey(),
	})
	return rp, err == nil
}

// surveyDataCentres surveys all data centres concurrently. A data centre without an entry in the
// result could not be reached.
func (nd *Node) surveyDataCentres(ctx context.Context, tb *rank.Table, team string) map[string][]*inner.SurveyRow {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rows := make(map[string][]*inner.SurveyRow)
	for _, dc := range tb.DataCentres() {
		wg.Go(func() {
			got, ok := nd.surveyDataCentre(ctx, tb, dc, team)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			rows[dc] = got
		})
	}
	wg.Wait()
	return rows
}

func (nd *Node) surveyDataCentre(ctx context.Context, tb *rank.Table, dc, team string) ([]*inner.SurveyRow, bool) {
	if dc == nd.set.DataCentre {
		return nd.survey(ctx, []string{team}), true
	}
	rp, ok := nd.askRanked(ctx, tb, dc, &inner.PullRequest{Survey: true, Teams: []string{team}})
	return rp.GetSurvey(), ok
}

// survey asks every VM of this data centre for its revision of a team. It returns nil unless
// teams has exactly one name.
func (nd *Node) survey(ctx context.Context, teams []string) []*inner.SurveyRow {
	if len(teams) != 1 {
		return nil
	}
	var tb *rank.Table
	nd.onControl(func(ct *control) { tb = ct.configs.machine.Table() })
	if tb == nil {
		return nil
	}
	return nd.surveyVMs(ctx, tb.VMs(nd.set.DataCentre), teams)
}

// missingFrom returns the VMs that have no row.
func missingFrom(vms []rank.VM, rows []*inner.SurveyRow) []rank.VM {
	named := make(map[string]bool, len(rows))
	for _, row := range rows {
		named[row.GetAddr()] = true
	}
	var out []rank.VM
	for _, vm := range vms {
		if !named[vm.Addr] {
			out = append(out, vm)
		}
	}
	return out
}

func (nd *Node) surveyVMs(ctx context.Context, vms []rank.VM, teams []string) []*inner.SurveyRow {
	rows := make([]*inner.SurveyRow, len(vms))
	slots := make(chan struct{}, maxSurveyCalls)
	var wg sync.WaitGroup
	for i, vm := range vms {
		slots <- struct{}{}
		wg.Go(func() {
			rows[i] = nd.surveyRow(ctx, vm, teams)
			<-slots
		})
	}
	wg.Wait()
	return rows
}

func (nd *Node) surveyRow(ctx context.Context, vm rank.VM, teams []string) *inner.SurveyRow {
	row := &inner.SurveyRow{Addr: vm.Addr, DataCentre: vm.DataCentre}
	held := revisionsInForce(nd.view.Load(), teams)
	if vm.Addr == nd.addr {
		row.Reachable = true
	} else {
		rp, ok := nd.askPeer(ctx, vm, &inner.PullRequest{Brief: true, Teams: teams}, surveyVMTimeout)
		row.Reachable = ok
		held = rp.GetHeld()
	}
	for _, tr := range held {
		row.Revision = tr.GetRevision()
	}
	return row
}

// summary evaluates the rows of a data centre. A VM that is known here and has no row counts as
// not reachable, so that it is not left out because the surveying VM's list is shorter.
func summary(dc string, known []rank.VM, rows []*inner.SurveyRow, revision uint64) (wire.ChangeStatusOfDataCentre, []wire.ChangeStatusOfVM) {
	byAddr := make(map[string]wire.ChangeStatusOfVM, len(known))
	for _, vm := range known {
		byAddr[vm.Addr] = wire.ChangeStatusOfVM{Addr: vm.Addr, DataCentre: dc}
	}
	for _, row := range rows {
		byAddr[row.GetAddr()] = wire.ChangeStatusOfVM{
			Addr:       row.GetAddr(),
			DataCentre: dc,
			Reachable:  row.GetReachable(),
			Revision:   row.GetRevision(),
			InForce:    row.GetReachable() && row.GetRevision() >= revision,
		}
	}
	sum := wire.ChangeStatusOfDataCentre{DataCentre: dc, Reachable: len(rows) > 0, VMs: len(byAddr)}
	vms := make([]wire.ChangeStatusOfVM, 0, len(byAddr))
	for _, vm := range byAddr {
		if vm.InForce {
			sum.InForce++
		}
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b wire.ChangeStatusOfVM) int { return cmp.Compare(a.Addr, b.Addr) })
	return sum, vms
}
