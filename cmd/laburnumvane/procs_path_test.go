package main

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/client"
	"laburnumvane/io/wire"
)

// A search on any VM covers the whole register. A renewal is sent through a VM that did not issue its
// ticket, and again through a third VM: both get the answer, and it runs once. An operator's change
// through one VM takes effect on all, and another VM reports that. The test runs the program with one
// process per VM, so that no memory shared between VMs can replace a message.
func TestProcsWholePath(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{vms: 3, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second})
	for _, vm := range clu.vms {
		out, code := runProgram(t, "search", "--url", "http://"+vm.plan.Caller, "--team", demoTeam, "--search", "history",
			"--need-complete", "--json", "--timeout", waitTimeout.String(), "member=m000042")
		is.Equal(code, exitOK)
		var an wire.SearchAnswer
		is.NoErr(json.Unmarshal([]byte(out), &an))
		is.Equal(an.Outcome, wire.OutcomeComplete)
		is.Equal(an.Coverage.Answered, clu.stage.Shards)
		is.Equal(len(an.Hits), 1)
		is.Equal(an.Hits[0].Member, "m000042")
	}

	rq := renewal(clu.ticket(clu.vms[0]), uniqueQuery("whole", 0))
	first, err := clu.vms[1].caller.Search(t.Context(), rq)
	is.NoErr(err)
	is.Equal(first.Outcome, wire.OutcomeComplete)
	second, err := clu.vms[2].caller.Search(t.Context(), rq)
	is.NoErr(err)
	is.Equal(second.Outcome, wire.OutcomeComplete)
	ry := clu.runs(rq.Query)
	is.Equal(ry.MostOfShard, 1)
	is.Equal(ry.Total, uint64(clu.stage.Shards))

	current, err := clu.vms[2].operator.Config(t.Context(), demoTeam)
	is.NoErr(err)
	change, err := clu.vms[2].operator.SetConfig(t.Context(), client.Change{
		Team: demoTeam, ID: "whole-path", Document: editedDocument(t, current.Document, setHitLimit(3)), IfRevision: current.Revision,
	})
	is.NoErr(err)
	is.Equal(change.Result, wire.ChangeAccepted)
	eventually(t, "the first VM reports that the change is in force on all", func() bool {
		cs, err := clu.vms[0].operator.ChangeStatus(t.Context(), "whole-path")
		inForce := 0
		for _, vm := range cs.VMs {
			if vm.InForce && vm.Revision == change.Revision {
				inForce++
			}
		}
		return err == nil && inForce == len(clu.vms)
	})
	for _, vm := range clu.vms {
		is.Equal(vm.revision(), change.Revision)
	}
}

// Two operators repeatedly change one team at the same time, through two VMs and from the same
// revision. Each time one change is accepted, and the other gets a conflict that contains the accepted
// change. The revision increases by one, and all VMs then have the accepted document.
func TestProcsOperatorsRace(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{vms: 3, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second})
	const rounds = 8
	for round := range rounds {
		current, err := clu.vms[2].operator.Config(t.Context(), demoTeam)
		is.NoErr(err)
		replies := make([]wire.ChangeReply, 2)
		errs := make([]error, 2)
		docs := make([]json.RawMessage, 2)
		var wg sync.WaitGroup
		for i := range replies {
			docs[i] = editedDocument(t, current.Document, setHitLimit(10+2*round+i))
			wg.Add(1)
			go func() {
				defer wg.Done()
				replies[i], errs[i] = clu.vms[i].operator.SetConfig(t.Context(), client.Change{
					Team: demoTeam, Document: docs[i], IfRevision: current.Revision,
				})
			}()
		}
		wg.Wait()
		is.NoErr(errs[0])
		is.NoErr(errs[1])
		won, lost := 0, 1
		if replies[1].Result == wire.ChangeAccepted {
			won, lost = 1, 0
		}
		is.Equal(replies[won].Result, wire.ChangeAccepted)
		is.Equal(replies[lost].Result, wire.ChangeConflict)
		is.Equal(replies[won].Revision, current.Revision+1)
		is.True(replies[lost].Current != nil)
		is.Equal(replies[lost].Current.ChangeID, replies[won].ChangeID)
		for _, vm := range clu.vms {
			eventually(t, vm.name+" has the winner's change", func() bool { return vm.revision() >= replies[won].Revision })
			now, err := vm.operator.Config(t.Context(), demoTeam)
			is.NoErr(err)
			is.Equal(now.Revision, replies[won].Revision)
			is.Equal(editedDocument(t, now.Document, setHitLimit(0)), editedDocument(t, docs[won], setHitLimit(0)))
			is.Equal(limitOf(t, now.Document), limitOf(t, docs[won]))
		}
	}
}

func limitOf(t *testing.T, raw json.RawMessage) int {
	t.Helper()
	var doc struct {
		Searches map[string]struct {
			HitLimit int `json:"hitLimit"`
		} `json:"searches"`
	}
	is.New(t).NoErr(json.Unmarshal(raw, &doc))
	return doc.Searches["kiosk"].HitLimit
}
