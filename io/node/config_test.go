package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/change"
	"laburnumvane/core/team"
	"laburnumvane/io/client"
	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/oper"
	"laburnumvane/io/plat"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

const wash = "wash"

func startWash(t *testing.T, vms int) *site.Site {
	t.Helper()
	is := is.New(t)
	rg, err := emul.SampleRegister("members", 2, 20)
	is.NoErr(err)
	st, err := site.Start(site.Config{
		Team: wash, VMs: vms, DataCentres: []string{"east", "west"}, Region: "city",
		Register: rg, Services: 1, Slots: 3, Connections: 30,
		Searches: map[string]team.Search{"kiosk": {Class: team.ClassUrgent, HardDeadlineMs: 2000}},
		Log:      &log.Logger{Level: log.PanicLevel},
	})
	is.NoErr(err)
	t.Cleanup(st.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	// The VM list lags: the VMs that started first only know themselves.
	for _, nd := range st.Nodes() {
		eventually(t, "every VM is listed", func() bool { return len(nd.Status().VMs) == vms })
	}
	return st
}

// documentWith returns the site's document with another limit of concurrent searches.
func documentWith(t *testing.T, st *site.Site, concurrent int) []byte {
	t.Helper()
	doc := st.Document()
	doc.Limits.Concurrent = concurrent
	raw, err := json.Marshal(doc)
	is.New(t).NoErr(err)
	return raw
}

func propose(t *testing.T, nd *node.Node, raw []byte, expect uint64) wire.ChangeReply {
	t.Helper()
	reply, err := nd.Change(context.Background(), oper.Proposal{Team: wash, Document: raw, Actor: "ann", Expect: &expect})
	is.New(t).NoErr(err)
	return reply
}

func revision(nd *node.Node) uint64 {
	cr, _ := nd.Config(wash)
	return cr.Revision
}

func waitForRevision(t *testing.T, nds []*node.Node, rev uint64) {
	t.Helper()
	for i, nd := range nds {
		eventually(t, fmt.Sprintf("revision %d on VM %d", rev, i), func() bool { return revision(nd) >= rev })
	}
}

func TestChangeThroughEachVM(t *testing.T) {
	// An operator changes the team through one VM after the other. Each change must be accepted
	// and come into force on all VMs, its status must show both data centres, and the document
	// must be returned byte for byte.
	is := is.New(t)
	st := startWash(t, 4)
	for i, nd := range st.Nodes() {
		raw := documentWith(t, st, 100+i)
		reply := propose(t, nd, raw, uint64(i+1))
		is.Equal(reply.Result, wire.ChangeAccepted)
		is.Equal(reply.Revision, uint64(i+2))
		waitForRevision(t, st.Nodes(), reply.Revision)
		cr, _ := st.Nodes()[0].Config(wash)
		is.Equal(string(cr.Document), string(raw))

		cs := st.Nodes()[(i+1)%4].ChangeStatus(context.Background(), reply.ChangeID)
		is.True(cs.Known)
		is.Equal(cs.Revision, reply.Revision)
		is.Equal(cs.DataCentres, []wire.ChangeStatusOfDataCentre{
			{DataCentre: "east", Reachable: true, VMs: 2, InForce: 2},
			{DataCentre: "west", Reachable: true, VMs: 2, InForce: 2},
		})
	}
	hr, err := st.Nodes()[0].History(context.Background(), wash)
	is.NoErr(err)
	is.Equal(len(hr.Entries), 5)
}

func TestStatusOfAStoppedDataCentre(t *testing.T) {
	// The VMs of one data centre are killed. The status of a change must show that data centre
	// as unreachable and the change in force on all other VMs.
	is := is.New(t)
	st := startWash(t, 4)
	for _, nd := range slices.Clone(st.Nodes()) {
		if nd.Status().DataCentre == "west" {
			st.Kill(nd)
		}
	}
	reply := propose(t, st.Nodes()[0], documentWith(t, st, 7), 1)
	is.Equal(reply.Result, wire.ChangeAccepted)
	waitForRevision(t, st.Nodes(), 2)
	cs := st.Nodes()[0].ChangeStatus(context.Background(), reply.ChangeID)
	is.Equal(cs.DataCentres, []wire.ChangeStatusOfDataCentre{
		{DataCentre: "east", Reachable: true, VMs: 2, InForce: 2},
		{DataCentre: "west", Reachable: false, VMs: 2, InForce: 0},
	})
}

func TestRaceOfOperators(t *testing.T) {
	// Operators of one team change the same revision concurrently through all VMs. One change
	// must be accepted; a conflict must show the accepted change.
	is := is.New(t)
	st := startWash(t, 4)
	replies := make([]wire.ChangeReply, 8)
	var wg sync.WaitGroup
	for i := range replies {
		raw := documentWith(t, st, 200+i)
		wg.Go(func() { replies[i] = propose(t, st.Nodes()[i%4], raw, 1) })
	}
	wg.Wait()
	accepted := ""
	for _, reply := range replies {
		if reply.Result == wire.ChangeAccepted {
			is.Equal(accepted, "")
			accepted = reply.ChangeID
		}
	}
	is.True(accepted != "")
	for _, reply := range replies {
		if reply.Result == wire.ChangeConflict {
			is.Equal(reply.Current.ChangeID, accepted)
		}
	}
	is.Equal(storedEnvelope(t, st).Revision(), uint64(2))
}

func TestChangeUnderFaults(t *testing.T) {
	// The key-value service has a fault during a change. The operator's result must agree with
	// what the service holds once the fault is over.
	cases := []struct {
		name   string
		faults emul.KVFaults
		want   wire.ChangeResult
	}{
		{"no fault", emul.KVFaults{}, wire.ChangeAccepted},
		{"slow", emul.KVFaults{Slow: 300 * time.Millisecond}, wire.ChangeAccepted},
		{"replies lost", emul.KVFaults{LoseSwaps: true}, wire.ChangeAccepted},
		{"stale reads", emul.KVFaults{StaleReads: true}, wire.ChangeAccepted},
		{"watches silent", emul.KVFaults{SilentWatches: true}, wire.ChangeAccepted},
	}
	st := startWash(t, 2)
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			before := revision(st.Nodes()[0])
			waitForRevision(t, st.Nodes(), before)
			st.KV().SetFaults(tc.faults)
			reply := propose(t, st.Nodes()[i%2], documentWith(t, st, 300+i), before)
			is.Equal(reply.Result, tc.want)
			waitForRevision(t, st.Nodes(), reply.Revision)
			st.KV().SetFaults(emul.KVFaults{})
			st.KV().SaveState()
			is.Equal(storedEnvelope(t, st).Revision(), reply.Revision)
		})
	}
}

// storedEnvelope returns the value that the key-value service holds.
func storedEnvelope(t *testing.T, st *site.Site) change.Envelope {
	t.Helper()
	is := is.New(t)
	cl := plat.New(plat.Config{Addrs: []string{st.KV().Addr()}, Timeout: testTimeout})
	defer cl.Close()
	pair, ok, err := cl.Get(context.Background(), change.KeyOf(wash))
	is.NoErr(err)
	is.True(ok)
	en, err := change.Decode(pair.Value)
	is.NoErr(err)
	return en
}

func TestBootWithServiceDown(t *testing.T) {
	// A VM boots while the key-value service is down, and another while the service returns an
	// older configuration. Both must get the newest configuration from the other VMs first.
	is := is.New(t)
	st := startWash(t, 3)
	st.KV().SaveState()
	reply := propose(t, st.Nodes()[0], documentWith(t, st, 9), 1)
	is.Equal(reply.Result, wire.ChangeAccepted)
	waitForRevision(t, st.Nodes(), 2)
	for _, kf := range []emul.KVFaults{{Refuse: true}, {StaleReads: true}} {
		st.KV().SetFaults(kf)
		nd, err := st.StartVM("west")
		is.NoErr(err)
		first := uint64(0)
		eventually(t, "a configuration after boot", func() bool { first = revision(nd); return first > 0 })
		is.Equal(first, uint64(2))
		waitForRevision(t, st.Nodes(), 2)
	}
}

func TestNoConfig(t *testing.T) {
	// Every VM is replaced while the service is down, so that the new VM has no configuration
	// and no other VM to ask. It must refuse searches with noConfig, without running anything,
	// and must get the configuration once the service is available again.
	is := is.New(t)
	st := startWash(t, 2)
	st.KV().SetFaults(emul.KVFaults{Refuse: true})
	for _, nd := range slices.Clone(st.Nodes()) {
		st.Kill(nd)
	}
	nd, err := st.StartVM("east")
	is.NoErr(err)
	cl, err := client.NewCaller(client.Config{URL: "http://" + nd.Addrs().Caller, Timeout: testTimeout})
	is.NoErr(err)
	rq := wire.SearchRequest{Team: wash, Search: "kiosk", Query: json.RawMessage(`{"plate":"AAA-000"}`), DeadlineMs: 1000}
	an, err := cl.Search(context.Background(), rq)
	is.NoErr(err)
	is.Equal(an.Outcome, wire.OutcomeNotRun)
	is.Equal(an.Reason, "noConfig")
	st.KV().SetFaults(emul.KVFaults{})
	eventually(t, "the configuration is back", func() bool { return revision(nd) == 1 })
}

func TestServiceRestoredFromBackup(t *testing.T) {
	// An old value is written over the team's key, as by restoring a backup. No VM may return to
	// the old revision, an alarm must be raised, and the VMs must write the newer change back to
	// the service.
	is := is.New(t)
	st := startWash(t, 3)
	old := storedEnvelope(t, st)
	reply := propose(t, st.Nodes()[0], documentWith(t, st, 8), 1)
	is.Equal(reply.Result, wire.ChangeAccepted)
	waitForRevision(t, st.Nodes(), 2)
	overwrite(t, st, old)
	eventually(t, "the service has the fleet's change", func() bool { return storedEnvelope(t, st).Revision() == 2 })
	cur, _ := storedEnvelope(t, st).Current()
	is.Equal(cur.ID, reply.ChangeID)
	alarms := 0.0
	for _, nd := range st.Nodes() {
		is.Equal(revision(nd), uint64(2))
		alarms += nd.Metrics()["config.alarm.serviceBehind"]
	}
	is.True(alarms >= 1)
}

// overwrite writes a value to the key-value service over the one it holds.
func overwrite(t *testing.T, st *site.Site, en change.Envelope) {
	t.Helper()
	is := is.New(t)
	cl := plat.New(plat.Config{Addrs: []string{st.KV().Addr()}, Timeout: testTimeout})
	defer cl.Close()
	pair, _, err := cl.Get(context.Background(), change.KeyOf(wash))
	is.NoErr(err)
	value, err := en.Encode()
	is.NoErr(err)
	rp, err := cl.Swap(context.Background(), wire.KVSwapRequest{Key: pair.Key, Value: value, Expect: pair.Revision})
	is.NoErr(err)
	is.True(rp.Swapped)
}

func TestChangeOfKilledVM(t *testing.T) {
	// A VM dies right after its swap took effect, so that it pushes the change to no other VM,
	// and the service has compacted its events. The VMs that watch the service must read all
	// values again and push the change, and its status must be found by its id.
	is := is.New(t)
	st := startWash(t, 3)
	overwrite(t, st, storedEnvelope(t, st).WithChange(change.Entry{ID: "quiet", Document: documentWith(t, st, 8)}, 0))
	st.KV().Compact()
	waitForRevision(t, st.Nodes(), 2)
	cs := st.Nodes()[2].ChangeStatus(context.Background(), "quiet")
	is.True(cs.Known)
	is.Equal(cs.Revision, uint64(2))
}

func TestSameIDThroughTwoVMs(t *testing.T) {
	// The reply to an operator was lost, and the operator repeats the change with the same id
	// through another VM. It must be accepted with the same reply, and nothing may be written.
	is := is.New(t)
	st := startWash(t, 2)
	raw, expect := documentWith(t, st, 8), uint64(1)
	pr := oper.Proposal{ID: "mine", Team: wash, Document: raw, Expect: &expect}
	first, err := st.Nodes()[0].Change(context.Background(), pr)
	is.NoErr(err)
	again, err := st.Nodes()[1].Change(context.Background(), pr)
	is.NoErr(err)
	is.Equal(first, again)
	is.Equal(first.Result, wire.ChangeAccepted)
	is.Equal(storedEnvelope(t, st).Revision(), uint64(2))
	pr.ID = "not an id"
	_, err = st.Nodes()[0].Change(context.Background(), pr)
	is.True(err != nil)
}
