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

// A caller searches on any VM and gets the whole register; a renewal is sent
// through a VM that did not issue its ticket, and again through a third: one
// answer, one run. An operator's change through one VM is in force on all, and
// another VM says so. All of it with the program's own commands and a process
// for each VM, so that nothing shared in memory can stand in for a message.
func TestProcsWholePath(t *testing.T) {
	is := is.New(t)
	wd := startWorld(t, worldConfig{vms: 3, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second})
	for _, vm := range wd.vms {
		out, code := command(t, "search", "--url", "http://"+vm.plan.Caller, "--team", demoTeam, "--search", "history",
			"--need-complete", "--json", "--timeout", patience.String(), "member=m000042")
		is.Equal(code, exitOK)
		var an wire.SearchAnswer
		is.NoErr(json.Unmarshal([]byte(out), &an))
		is.Equal(an.Outcome, wire.OutcomeComplete)
		is.Equal(an.Coverage.Answered, wd.stage.Shards)
		is.Equal(len(an.Hits), 1)
		is.Equal(an.Hits[0].Member, "m000042")
	}

	rq := renewal(wd.ticket(wd.vms[0]), ownQuery("whole", 0))
	first, err := wd.vms[1].caller.Search(t.Context(), rq)
	is.NoErr(err)
	is.Equal(first.Outcome, wire.OutcomeComplete)
	second, err := wd.vms[2].caller.Search(t.Context(), rq)
	is.NoErr(err)
	is.Equal(second.Outcome, wire.OutcomeComplete)
	ry := wd.runs(rq.Query)
	is.Equal(ry.MostOfShard, 1)
	is.Equal(ry.Total, uint64(wd.stage.Shards))

	held, err := wd.vms[2].operator.Config(t.Context(), demoTeam)
	is.NoErr(err)
	change, err := wd.vms[2].operator.SetConfig(t.Context(), client.Change{
		Team: demoTeam, ID: "whole-path", Document: changed(t, held.Document, hitLimit(3)), IfRevision: held.Revision,
	})
	is.NoErr(err)
	is.Equal(change.Result, wire.ChangeAccepted)
	eventually(t, "the first VM says that the change is in force on all", func() bool {
		cs, err := wd.vms[0].operator.ChangeStatus(t.Context(), "whole-path")
		inForce := 0
		for _, vm := range cs.VMs {
			if vm.InForce && vm.Revision == change.Revision {
				inForce++
			}
		}
		return err == nil && inForce == len(wd.vms)
	})
	for _, vm := range wd.vms {
		is.Equal(vm.revision(), change.Revision)
	}
}

// Two operators change one team through two VMs at the same time, from the same
// revision, again and again. Each time one is told accepted and the other
// conflict with the first's change shown; the revision goes up by one and the
// winner's document is what all VMs then have.
func TestProcsOperatorsRace(t *testing.T) {
	is := is.New(t)
	wd := startWorld(t, worldConfig{vms: 3, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second})
	const rounds = 8
	for round := range rounds {
		held, err := wd.vms[2].operator.Config(t.Context(), demoTeam)
		is.NoErr(err)
		replies := make([]wire.ChangeReply, 2)
		errs := make([]error, 2)
		docs := make([]json.RawMessage, 2)
		var wg sync.WaitGroup
		for i := range replies {
			docs[i] = changed(t, held.Document, hitLimit(10+2*round+i))
			wg.Add(1)
			go func() {
				defer wg.Done()
				replies[i], errs[i] = wd.vms[i].operator.SetConfig(t.Context(), client.Change{
					Team: demoTeam, Document: docs[i], IfRevision: held.Revision,
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
		is.Equal(replies[won].Revision, held.Revision+1)
		is.True(replies[lost].Current != nil)
		is.Equal(replies[lost].Current.ChangeID, replies[won].ChangeID)
		for _, vm := range wd.vms {
			eventually(t, vm.name+" has the winner's change", func() bool { return vm.revision() >= replies[won].Revision })
			now, err := vm.operator.Config(t.Context(), demoTeam)
			is.NoErr(err)
			is.Equal(now.Revision, replies[won].Revision)
			is.Equal(changed(t, now.Document, hitLimit(0)), changed(t, docs[won], hitLimit(0)))
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
