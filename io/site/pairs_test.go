package site_test

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/wire"
)

// Faults come together, while callers search and renew at four VMs in two data
// centres. Whatever the pair, each answer is of one snapshot with its true
// coverage, what was said not to have run has not, no ticket runs twice, and no
// VM's configuration goes back.
func TestPairs(t *testing.T) {
	for _, tc := range []struct {
		name string
		// bring brings the faults about, sees that they struck, and ends them.
		bring func(t *testing.T, pr *pair)
	}{
		{name: "stragglers, lost replica", bring: stragglersAndLostReplica},
		{name: "stragglers, repartition", bring: stragglersAndRepartition},
		{name: "repartition, lost replica", bring: repartitionAndLostReplica},
		{name: "repartition, service down", bring: repartitionAndServiceDown},
		{name: "service slow, swap answers lost, operators race", bring: slowLostAndRace},
		{name: "silent connections, drain", bring: silentAndDrain},
		{name: "silent connections, tickets", bring: silentAndTickets},
		{name: "lost replica, tickets", bring: lostReplicaAndTickets},
		{name: "killed VM, repartition", bring: killedAndRepartition},
		{name: "service from the past, boot", bring: pastAndBoot},
		{name: "service down, data centre replaced, change", bring: downAndReplaced},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			pr := startPair(t)
			tc.bring(t, pr)
			pr.healed()
			re := pr.end()
			found := re.faults()
			for _, what := range found[:min(len(found), 5)] {
				t.Log(what)
			}
			is.Equal(len(found), 0)
			tally(t, re)
		})
	}
}

// tally tells what came back, and that tickets were used.
func tally(t *testing.T, re record) {
	t.Helper()
	seen := map[string]int{}
	for _, as := range re.asked {
		for _, at := range as.attempts {
			kind := "search "
			if as.ticket {
				kind = "renewal "
			}
			if at.err != nil {
				seen[kind+"error"]++
				continue
			}
			seen[kind+string(at.answer.Outcome)+" "+at.answer.Reason]++
		}
	}
	t.Logf("%d searches; attempts %v", len(re.asked), seen)
	is.New(t).True(seen["renewal complete "] > 0)
}

// The caller sees hedged answers, and some partial ones by the soft deadline.
// One replica of each service takes sixty times as long for a tenth of its work;
// then another crashes with work in flight, so hedges and retries meet on the
// last good one. Retries of what never ran must not count twice in an answer.
func stragglersAndLostReplica(t *testing.T, pr *pair) {
	for _, sv := range pr.servers(0) {
		sv.Upstream.SetFaults(emul.UpstreamFaults{SlowShare: 0.1, SlowTimes: 60})
	}
	pr.answered(100)
	for _, sv := range pr.servers(1) {
		sv.Upstream.Crash()
	}
	within(t, "hedges and retries", func() bool {
		hedged := pr.count(func(as asked) bool { return as.attempts[0].answer.Work.Hedges > 0 })
		retried := pr.count(func(as asked) bool { return as.attempts[0].answer.Work.Retries > 0 })
		return hedged > 0 && retried > 0
	})
	pr.answered(200)
	for _, sv := range pr.servers(1) {
		pr.restart(sv)
	}
	for _, sv := range pr.servers(0) {
		sv.Upstream.SetFaults(emul.UpstreamFaults{})
	}
}

// The caller sees one snapshot's members in each answer. A replica of each
// service crashes; the register is split anew three times, each time with other
// members; the crashed ones are back between two of them. A search that began
// with the old map retries at servers that hold both.
func repartitionAndLostReplica(t *testing.T, pr *pair) {
	for _, sv := range pr.servers(0) {
		sv.Upstream.Crash()
	}
	pr.publish(6)
	pr.healed()
	for _, sv := range pr.servers(0) {
		pr.restart(sv)
	}
	for _, sv := range pr.servers(1) {
		sv.Upstream.Crash()
	}
	pr.publish(6)
	pr.answered(100)
	pr.publish(9)
	pr.healed()
	for _, sv := range pr.servers(1) {
		pr.restart(sv)
	}
	is.New(t).True(pr.snapshotsSeen() >= 3)
}

// The caller sees partial answers of one snapshot. A third of all work takes as
// long as several repartitions, so its search outlives the map it began with, and
// the servers have dropped the snapshot when it retries or hedges.
func stragglersAndRepartition(t *testing.T, pr *pair) {
	is := is.New(t)
	for _, sv := range pr.st.Fleet().Servers() {
		sv.Upstream.SetFaults(emul.UpstreamFaults{SlowShare: 0.3, SlowTimes: 100})
	}
	pr.answered(20)
	for _, shards := range []int{6, 6, 9} {
		pr.publish(shards)
		pr.answered(20)
	}
	for _, sv := range pr.st.Fleet().Servers() {
		sv.Upstream.SetFaults(emul.UpstreamFaults{})
	}
	pr.healed()
	is.True(pr.snapshotsSeen() >= 2)
	is.True(pr.count(func(as asked) bool { return as.attempts[0].answer.Outcome == wire.OutcomePartial }) > 0)
}

// snapshotsSeen is how many snapshots answers were of.
func (pr *pair) snapshotsSeen() int {
	seen := map[uint64]bool{}
	pr.count(func(as asked) bool {
		if an := as.attempts[0].answer; an.Snapshot > 0 {
			seen[an.Snapshot] = true
		}
		return true
	})
	return len(seen)
}

// The caller sees nothing: the service goes down, and the register is split anew
// meanwhile. Maps come from the servers, so they follow without the service; an
// operator's change waits for it and is then in force, or is refused for good.
func repartitionAndServiceDown(t *testing.T, pr *pair) {
	is := is.New(t)
	pr.st.KV().SetFaults(emul.KVFaults{Refuse: true})
	reply := make(chan wire.ChangeReply, 1)
	go func() { reply <- pr.propose(pr.st.Nodes()[0], "ada", 900, nil) }()
	pr.publish(6)
	pr.healed()
	is.True(pr.snapshotsSeen() >= 2)
	pr.st.KV().SetFaults(emul.KVFaults{})
	got := <-reply
	is.Equal(got.Result, wire.ChangeAccepted)
	pr.revision(got.Revision)
}

// The caller sees nothing. The service is slow and breaks the connection after
// each swap took effect, while two operators change the same revision through
// VMs of different data centres. One is accepted, the other gets a conflict that
// shows the first; never both, and not neither.
func slowLostAndRace(t *testing.T, pr *pair) {
	is := is.New(t)
	for round := range 3 {
		cf, ok := pr.st.Nodes()[0].Config("wash")
		is.True(ok)
		pr.st.KV().SetFaults(emul.KVFaults{LoseSwaps: true, Slow: pairSlow})
		replies := make(chan wire.ChangeReply, 2)
		for vm, actor := range []string{"ada", "bo"} {
			expect := cf.Revision
			go func() { replies <- pr.propose(pr.st.Nodes()[vm], actor, 900+2*round+vm, &expect) }()
		}
		one, two := <-replies, <-replies
		if one.Result != wire.ChangeAccepted {
			one, two = two, one
		}
		is.Equal(one.Result, wire.ChangeAccepted)
		is.Equal(two.Result, wire.ChangeConflict)
		is.Equal(two.Current.ChangeID, one.ChangeID)
		is.Equal(one.Revision, cf.Revision+1)
		pr.st.KV().SetFaults(emul.KVFaults{})
		pr.revision(one.Revision)
	}
}

// The caller sees partial answers for a moment. All connections to all servers go
// silent, and in the same moment one replica of each service begins to drain. The
// refusals that would tell it can't come through the silent ones; new connections
// bring them. Once it is known, the drained get no more work.
func silentAndDrain(t *testing.T, pr *pair) {
	is := is.New(t)
	for _, sv := range pr.st.Fleet().Servers() {
		sv.Upstream.Silence()
	}
	for _, sv := range pr.servers(0) {
		sv.Upstream.SetState(wire.UpstreamDraining)
	}
	pr.answered(100)
	drainedAll := func() bool {
		for _, sv := range pr.servers(0) {
			if !everywhere(pr.st, sv.Addr, func(up wire.UpstreamOfVM) bool { return up.State == "draining" }) {
				return false
			}
		}
		return true
	}
	within(t, "draining at every VM", drainedAll)
	pr.round() // what had begun before is at an end
	runs := uint64(0)
	for _, sv := range pr.servers(0) {
		runs += sv.Upstream.Runs()
	}
	pr.answered(100)
	after := uint64(0)
	for _, sv := range pr.servers(0) {
		after += sv.Upstream.Runs()
	}
	is.Equal(after, runs)
	for _, sv := range pr.servers(0) {
		sv.Upstream.SetState(wire.UpstreamServing)
		sv.Upstream.Crash()
		pr.restart(sv)
	}
}

// The caller of a renewal sees unknown rather than a second run. Connections go
// silent over and over while renewals are in flight, so a sub-request may have
// run whose reply never comes; the same ticket is used at two VMs at once and at
// a third afterwards.
func silentAndTickets(t *testing.T, pr *pair) {
	is := is.New(t)
	for range 2 {
		for _, sv := range pr.st.Fleet().Servers() {
			sv.Upstream.Silence()
		}
		pr.answered(60)
	}
	is.True(pr.count(func(as asked) bool {
		an := as.attempts[0].answer
		return as.ticket && an.Outcome != wire.OutcomeComplete
	}) > 0)
}

// The caller of a renewal sees unknown rather than a second run. All replicas of
// a service crash with renewals in flight and come back at once with nothing in
// memory, again and again: nobody can tell which of them had run.
func lostReplicaAndTickets(t *testing.T, pr *pair) {
	is := is.New(t)
	struck := func() bool {
		return pr.count(func(as asked) bool { return as.ticket && as.attempts[0].answer.Outcome != wire.OutcomeComplete }) > 0
	}
	for rounds := 0; rounds < 3 || !struck() && rounds < 50; rounds++ {
		for _, sv := range pr.st.Fleet().Servers()[:emul.DefaultReplicas] {
			sv.Upstream.Crash()
			pr.restart(sv)
		}
		pr.answered(50)
	}
	is.True(struck())
}

// The caller of the killed VM sees broken connections, and its tickets are void.
// The VM dies in the middle of a repartition, with searches of both snapshots in
// flight, and the next one comes while another repartition is under way.
func killedAndRepartition(t *testing.T, pr *pair) {
	is := is.New(t)
	pr.publish(6)
	victim := pr.st.Nodes()[0]
	pr.st.Kill(victim)
	pr.publish(4)
	pr.answered(60)
	is.True(pr.count(func(as asked) bool { return as.attempts[0].err != nil }) > 0)
	nd, err := pr.st.Boot("east")
	is.NoErr(err)
	pr.publish(8)
	pr.drop(victim)
	pr.add(nd)
	pr.healed()
	is.True(pr.snapshotsSeen() >= 2)
}

// The caller sees nothing. A change is in force when the service begins to
// answer from before it, and a VM boots in that moment. It must take the
// revision that its peers have, not the older one that the service shows.
func pastAndBoot(t *testing.T, pr *pair) {
	is := is.New(t)
	pr.st.KV().Remember()
	got := pr.propose(pr.st.Nodes()[0], "ada", 900, nil)
	is.Equal(got.Result, wire.ChangeAccepted)
	pr.revision(got.Revision)
	pr.st.KV().SetFaults(emul.KVFaults{Past: true, SilentWatches: true})
	nd, err := pr.st.Boot("west")
	is.NoErr(err)
	pr.add(nd)
	pr.revision(got.Revision)
	within(t, "a map at the new VM", func() bool { return mapped(nd) })
	pr.answered(100)
	pr.st.KV().SetFaults(emul.KVFaults{})
}

// The caller of a VM that goes sees nothing or a broken connection. The service is
// down, a change of just before is in force, another waits for the service; one
// VM of a data centre is stopped and the other killed, and two new ones come. They
// take the change from the VMs of the other data centre, and the second change is
// accepted once the service is back.
func downAndReplaced(t *testing.T, pr *pair) {
	is := is.New(t)
	got := pr.propose(pr.st.Nodes()[0], "ada", 900, nil)
	is.Equal(got.Result, wire.ChangeAccepted)
	pr.revision(got.Revision)
	pr.st.KV().SetFaults(emul.KVFaults{Refuse: true})
	reply := make(chan wire.ChangeReply, 1)
	east, first, second := pr.st.Nodes()[0], pr.st.Nodes()[1], pr.st.Nodes()[3]
	go func() { reply <- pr.propose(east, "bo", 901, nil) }()
	pr.drop(first)
	is.NoErr(first.Stop(t.Context()))
	pr.st.Forget(first)
	pr.st.Kill(second)
	pr.drop(second)
	for range 2 {
		nd, err := pr.st.Boot("west")
		is.NoErr(err)
		pr.add(nd)
		within(t, "a map at the new VM", func() bool { return mapped(nd) })
	}
	pr.revision(got.Revision)
	pr.answered(50)
	pr.st.KV().SetFaults(emul.KVFaults{})
	last := <-reply
	is.Equal(last.Result, wire.ChangeAccepted)
	is.Equal(last.Revision, got.Revision+1)
	pr.revision(last.Revision)
}

func mapped(nd *node.Node) bool {
	registers := nd.Status().Registers
	return len(registers) > 0 && registers[0].Shards > 0 && registers[0].Live == registers[0].Shards
}
