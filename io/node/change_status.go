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
	// surveyTimeout bounds a survey of one data centre, surveyEach a question
	// to one VM. With surveyAtOnce questions at a time, 330 VMs of which a
	// tenth are dead take about a second.
	surveyTimeout = 4 * time.Second
	surveyEach    = 500 * time.Millisecond
	surveyAtOnce  = 16
	// surveyors are how many VMs of a data centre are asked to sum it up,
	// one after the other, before it counts as not reachable.
	surveyors = 3
	// maxLeft bounds the VMs asked from here because the list of the VM that
	// summed up lags behind.
	maxLeft = 32
)

// ChangeStatus tells where a change is in force. One VM of each data centre is
// asked to sum up its own: at thousands of VMs, asking each from here would
// take thousands of connections.
func (nd *Node) ChangeStatus(ctx context.Context, id string) wire.ChangeStatus {
	var tb *rank.Table
	nd.ask(func(ct *control) { tb = ct.conf.ma.Table() })
	out := wire.ChangeStatus{ChangeID: id, DataCentres: []wire.ChangeStatusOfDataCentre{}, VMs: []wire.ChangeStatusOfVM{}}
	if tb == nil {
		return out
	}
	rv, ok := nd.findChange(ctx, tb, id)
	if !ok {
		return out
	}
	out.Known, out.Team, out.Revision = true, rv.GetTeam(), rv.GetRevision()
	rows := nd.surveyAll(ctx, tb, out.Team)
	for _, dc := range tb.DataCentres() {
		left := unnamed(tb.Members(dc), rows[dc])
		if len(rows[dc]) > 0 && len(left) <= maxLeft {
			rows[dc] = append(rows[dc], nd.surveyVMs(ctx, left, []string{out.Team})...)
		}
		sum, vms := summary(dc, tb.Members(dc), rows[dc], out.Revision)
		out.DataCentres = append(out.DataCentres, sum)
		out.VMs = append(out.VMs, vms...)
	}
	return out
}

// findChange looks for a change by its id: on this VM, on a ranked VM of each
// data centre, and at last in the key-value service, where a change stands that
// took effect while its VM died.
func (nd *Node) findChange(ctx context.Context, tb *rank.Table, id string) (*inner.TeamRevision, bool) {
	if rv := nd.changeNamed(id); rv != nil {
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
		nd.platformFailed(ctx, "range", err)
		return nil, false
	}
	for _, pair := range rp.Pairs {
		name, _ := change.TeamOf(pair.Key)
		en, err := change.Decode(pair.Value)
		if err != nil {
			continue
		}
		if et, ok := en.Find(id); ok {
			return revisionOf(spread.Revision{Team: name, Revision: et.Revision, ChangeID: id}), true
		}
	}
	return nil, false
}

// askRanked asks the ranked VMs of a data centre in turn until one answers.
func (nd *Node) askRanked(ctx context.Context, tb *rank.Table, dc string, rq *inner.PullRequest) (*inner.PullReply, bool) {
	ranked := tb.Ranked(dc)
	for _, vm := range ranked[:min(len(ranked), surveyors)] {
		if rp, ok := nd.askPeer(ctx, vm, rq, surveyTimeout); ok {
			return rp, true
		}
	}
	return nil, false
}

func (nd *Node) askPeer(ctx context.Context, vm rank.VM, rq *inner.PullRequest, patience time.Duration) (*inner.PullReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, patience)
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

// surveyAll sums up every data centre at once. One without an entry could not
// be reached.
func (nd *Node) surveyAll(ctx context.Context, tb *rank.Table, team string) map[string][]*inner.SurveyRow {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rows := make(map[string][]*inner.SurveyRow)
	for _, dc := range tb.DataCentres() {
		wg.Go(func() {
			got, ok := nd.surveyOf(ctx, tb, dc, team)
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

func (nd *Node) surveyOf(ctx context.Context, tb *rank.Table, dc, team string) ([]*inner.SurveyRow, bool) {
	if dc == nd.set.DataCentre {
		return nd.survey(ctx, []string{team}), true
	}
	rp, ok := nd.askRanked(ctx, tb, dc, &inner.PullRequest{Survey: true, Teams: []string{team}})
	return rp.GetSurvey(), ok
}

// survey asks every VM of this data centre for its revision of a team.
func (nd *Node) survey(ctx context.Context, teams []string) []*inner.SurveyRow {
	if len(teams) != 1 {
		return nil
	}
	var tb *rank.Table
	nd.ask(func(ct *control) { tb = ct.conf.ma.Table() })
	if tb == nil {
		return nil
	}
	return nd.surveyVMs(ctx, tb.Members(nd.set.DataCentre), teams)
}

// unnamed are the VMs that no row names.
func unnamed(vms []rank.VM, rows []*inner.SurveyRow) []rank.VM {
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
	slots := make(chan struct{}, surveyAtOnce)
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
	held := inForce(nd.view.Load(), teams)
	if vm.Addr == nd.addr {
		row.Reachable = true
	} else {
		rp, ok := nd.askPeer(ctx, vm, &inner.PullRequest{Brief: true, Teams: teams}, surveyEach)
		row.Reachable = ok
		held = rp.GetHeld()
	}
	for _, tr := range held {
		row.Revision = tr.GetRevision()
	}
	return row
}

// summary judges the rows of a data centre. A VM that this one knows of and
// that no row names counts as not reachable: it must not be forgotten because
// the other VM's list is shorter.
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
