package site_test

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/wire"
)

// Two or more faults occur together while callers search and renew at four VMs in two data centres.
// With each combination, an answer must be from one snapshot and state its true coverage, a search
// reported as not run must not have run, no ticket may run twice, and no VM's configuration revision
// may decrease.
func TestPairs(t *testing.T) {
	for _, tc := range []struct {
		name string
		// inject injects the faults, checks that they had an effect, and ends them.
		inject func(t *testing.T, pr *pairRun)
	}{
		{name: "stragglers, crashed replica", inject: stragglersAndLostReplica},
		{name: "stragglers, repartition", inject: stragglersAndRepartition},
		{name: "repartition, crashed replica", inject: repartitionAndLostReplica},
		{name: "repartition, service down", inject: repartitionAndServiceDown},
		{name: "service slow, swap answers lost, operators race", inject: slowServiceAndRace},
		{name: "silent connections, drain", inject: silentConnectionsAndDrain},
		{name: "silent connections, tickets", inject: silentConnectionsAndTickets},
		{name: "crashed replicas, tickets", inject: lostReplicaAndTickets},
		{name: "killed VM, repartition", inject: killedVMAndRepartition},
		{name: "stale service, boot", inject: staleServiceAndBoot},
		{name: "service down, data centre replaced, change", inject: serviceDownAndReplaced},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			pr := startPairRun(t)
			tc.inject(t, pr)
			pr.awaitRecovered()
			re := pr.finish()
			found := re.violations()
			for _, what := range found[:min(len(found), 5)] {
				t.Log(what)
			}
			is.Equal(len(found), 0)
			logOutcomes(t, re)
		})
	}
}

// logOutcomes logs the outcomes of all attempts, and checks that some renewals were complete.
func logOutcomes(t *testing.T, re trafficRecord) {
	t.Helper()
	seen := map[string]int{}
	for _, as := range re.searches {
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
	t.Logf("%d searches; attempts %v", len(re.searches), seen)
	is.New(t).True(seen["renewal complete "] > 0)
}

// One replica of each service takes sixty times as long for a tenth of its sub-requests. Then another
// replica crashes with sub-requests in flight, so that hedges and retries all go to the remaining one.
// Callers get hedged answers, and some partial ones at the soft deadline. Retries of sub-requests that
// never ran must not be counted twice in an answer.
func stragglersAndLostReplica(t *testing.T, pr *pairRun) {
	for _, sv := range pr.replicas(0) {
		sv.Upstream.SetFaults(emul.UpstreamFaults{SlowShare: 0.1, SlowTimes: 60})
	}
	pr.awaitSearches(100)
	for _, sv := range pr.replicas(1) {
		sv.Upstream.Crash()
	}
	eventually(t, "hedges and retries", func() bool {
		hedged := pr.countSearches(func(as searchRecord) bool { return as.attempts[0].answer.Work.Hedges > 0 })
		retried := pr.countSearches(func(as searchRecord) bool { return as.attempts[0].answer.Work.Retries > 0 })
		return hedged > 0 && retried > 0
	})
	pr.awaitSearches(200)
	for _, sv := range pr.replicas(1) {
		pr.restart(sv)
	}
	for _, sv := range pr.replicas(0) {
		sv.Upstream.SetFaults(emul.UpstreamFaults{})
	}
}

// A replica of each service crashes. The register is repartitioned three times, each time with other
// members, and crashed replicas restart in between. A search that started with the old map retries at
// servers that hold both snapshots. Each answer must have the members of one snapshot.
func repartitionAndLostReplica(t *testing.T, pr *pairRun) {
	for _, sv := range pr.replicas(0) {
		sv.Upstream.Crash()
	}
	pr.publishSnapshot(6)
	pr.awaitRecovered()
	for _, sv := range pr.replicas(0) {
		pr.restart(sv)
	}
	for _, sv := range pr.replicas(1) {
		sv.Upstream.Crash()
	}
	pr.publishSnapshot(6)
	pr.awaitSearches(100)
	pr.publishSnapshot(9)
	pr.awaitRecovered()
	for _, sv := range pr.replicas(1) {
		pr.restart(sv)
	}
	is.New(t).True(pr.snapshotsSeen() >= 3)
}

// A third of all sub-requests takes as long as several repartitions. Their searches outlast the map
// that they started with, and the servers have dropped its snapshot when a search retries or hedges.
// Callers get partial answers, each of one snapshot.
func stragglersAndRepartition(t *testing.T, pr *pairRun) {
	is := is.New(t)
	for _, sv := range pr.st.Fleet().Servers() {
		sv.Upstream.SetFaults(emul.UpstreamFaults{SlowShare: 0.3, SlowTimes: 100})
	}
	pr.awaitSearches(20)
	for _, shards := range []int{6, 6, 9} {
		pr.publishSnapshot(shards)
		pr.awaitSearches(20)
	}
	for _, sv := range pr.st.Fleet().Servers() {
		sv.Upstream.SetFaults(emul.UpstreamFaults{})
	}
	pr.awaitRecovered()
	is.True(pr.snapshotsSeen() >= 2)
	is.True(pr.countSearches(func(as searchRecord) bool { return as.attempts[0].answer.Outcome == wire.OutcomePartial }) > 0)
}

// snapshotsSeen returns the number of different snapshots that answers came from.
func (pr *pairRun) snapshotsSeen() int {
	seen := map[uint64]bool{}
	pr.countSearches(func(as searchRecord) bool {
		if an := as.attempts[0].answer; an.Snapshot > 0 {
			seen[an.Snapshot] = true
		}
		return true
	})
	return len(seen)
}

// The key-value service goes down, and meanwhile the register is repartitioned. Callers do not notice:
// VMs build their maps from the servers' reports and do not need the service for that. An operator's
// change waits for the service and then takes effect.
func repartitionAndServiceDown(t *testing.T, pr *pairRun) {
	is := is.New(t)
	pr.st.KV().SetFaults(emul.KVFaults{Refuse: true})
	reply := make(chan wire.ChangeReply, 1)
	go func() { reply <- pr.propose(pr.st.Nodes()[0], "ada", 900, nil) }()
	pr.publishSnapshot(6)
	pr.awaitRecovered()
	is.True(pr.snapshotsSeen() >= 2)
	pr.st.KV().SetFaults(emul.KVFaults{})
	got := <-reply
	is.Equal(got.Result, wire.ChangeAccepted)
	pr.awaitRevision(got.Revision)
}

// The key-value service is slow and closes the connection after each swap has taken effect. Meanwhile
// two operators change the same revision through VMs of different data centres. Exactly one change
// must be accepted, and the other must get a conflict that contains the accepted one. Callers do not
// notice.
func slowServiceAndRace(t *testing.T, pr *pairRun) {
	is := is.New(t)
	for round := range 3 {
		cf, ok := pr.st.Nodes()[0].Config("wash")
		is.True(ok)
		pr.st.KV().SetFaults(emul.KVFaults{LoseSwaps: true, Slow: pairSlowDelay})
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
		pr.awaitRevision(one.Revision)
	}
}

// All connections to all servers go silent, and at the same time one replica of each service begins to
// drain. The refusals that would announce this cannot arrive on the silent connections, only on new
// ones. Callers get partial answers for a short time. Once the VMs know of the drain, the draining
// servers must get no more sub-requests.
func silentConnectionsAndDrain(t *testing.T, pr *pairRun) {
	is := is.New(t)
	for _, sv := range pr.st.Fleet().Servers() {
		sv.Upstream.Silence()
	}
	for _, sv := range pr.replicas(0) {
		sv.Upstream.SetState(wire.UpstreamDraining)
	}
	pr.awaitSearches(100)
	drainedAll := func() bool {
		for _, sv := range pr.replicas(0) {
			if !atEveryVM(pr.st, sv.Addr, func(up wire.UpstreamOfVM) bool { return up.State == "draining" }) {
				return false
			}
		}
		return true
	}
	eventually(t, "draining at every VM", drainedAll)
	pr.awaitRound() // searches that started before have ended
	runs := uint64(0)
	for _, sv := range pr.replicas(0) {
		runs += sv.Upstream.Runs()
	}
	pr.awaitSearches(100)
	after := uint64(0)
	for _, sv := range pr.replicas(0) {
		after += sv.Upstream.Runs()
	}
	is.Equal(after, runs)
	for _, sv := range pr.replicas(0) {
		sv.Upstream.SetState(wire.UpstreamServing)
		sv.Upstream.Crash()
		pr.restart(sv)
	}
}

// Connections go silent repeatedly while renewals are in flight, so that a sub-request may have run
// whose reply never arrives. Each ticket is used at two VMs at once and then at a third. The caller of
// a renewal must get "unknown" rather than a second run.
func silentConnectionsAndTickets(t *testing.T, pr *pairRun) {
	is := is.New(t)
	for range 2 {
		for _, sv := range pr.st.Fleet().Servers() {
			sv.Upstream.Silence()
		}
		pr.awaitSearches(60)
	}
	is.True(pr.countSearches(func(as searchRecord) bool {
		an := as.attempts[0].answer
		return as.ticket && an.Outcome != wire.OutcomeComplete
	}) > 0)
}

// All replicas of a service crash repeatedly with renewals in flight and restart at once with empty
// memory, so that no server knows which renewals had run. The caller of a renewal must get "unknown"
// rather than a second run.
func lostReplicaAndTickets(t *testing.T, pr *pairRun) {
	is := is.New(t)
	struck := func() bool {
		return pr.countSearches(func(as searchRecord) bool { return as.ticket && as.attempts[0].answer.Outcome != wire.OutcomeComplete }) > 0
	}
	for rounds := 0; rounds < 3 || !struck() && rounds < 50; rounds++ {
		for _, sv := range pr.st.Fleet().Servers()[:emul.DefaultReplicas] {
			sv.Upstream.Crash()
			pr.restart(sv)
		}
		pr.awaitSearches(50)
	}
	is.True(struck())
}

// A VM is killed during a repartition, with searches of both snapshots in flight, and its replacement
// starts during another repartition. Callers of the killed VM get broken connections, and its tickets
// become void.
func killedVMAndRepartition(t *testing.T, pr *pairRun) {
	is := is.New(t)
	pr.publishSnapshot(6)
	victim := pr.st.Nodes()[0]
	pr.st.Kill(victim)
	pr.publishSnapshot(4)
	pr.awaitSearches(60)
	is.True(pr.countSearches(func(as searchRecord) bool { return as.attempts[0].err != nil }) > 0)
	nd, err := pr.st.StartVM("east")
	is.NoErr(err)
	pr.publishSnapshot(8)
	pr.dropVM(victim)
	pr.addVM(nd)
	pr.awaitRecovered()
	is.True(pr.snapshotsSeen() >= 2)
}

// A change is in force when the key-value service begins to serve stale reads from before it, and a VM
// starts at that moment. The VM must use the revision that its peers have, not the older one that the
// service returns. Callers do not notice.
func staleServiceAndBoot(t *testing.T, pr *pairRun) {
	is := is.New(t)
	pr.st.KV().SaveState()
	got := pr.propose(pr.st.Nodes()[0], "ada", 900, nil)
	is.Equal(got.Result, wire.ChangeAccepted)
	pr.awaitRevision(got.Revision)
	pr.st.KV().SetFaults(emul.KVFaults{StaleReads: true, SilentWatches: true})
	nd, err := pr.st.StartVM("west")
	is.NoErr(err)
	pr.addVM(nd)
	pr.awaitRevision(got.Revision)
	eventually(t, "a map at the new VM", func() bool { return allShardsLive(nd) })
	pr.awaitSearches(100)
	pr.st.KV().SetFaults(emul.KVFaults{})
}

// The key-value service is down just after a change has taken effect, and another change waits for it.
// One VM of a data centre is stopped, the other is killed, and two new ones start. They must get the
// first change from the VMs of the other data centre, and the second change must be accepted once the
// service is back. Callers of the removed VMs get answers or broken connections.
func serviceDownAndReplaced(t *testing.T, pr *pairRun) {
	is := is.New(t)
	got := pr.propose(pr.st.Nodes()[0], "ada", 900, nil)
	is.Equal(got.Result, wire.ChangeAccepted)
	pr.awaitRevision(got.Revision)
	pr.st.KV().SetFaults(emul.KVFaults{Refuse: true})
	reply := make(chan wire.ChangeReply, 1)
	east, first, second := pr.st.Nodes()[0], pr.st.Nodes()[1], pr.st.Nodes()[3]
	go func() { reply <- pr.propose(east, "bo", 901, nil) }()
	pr.dropVM(first)
	is.NoErr(first.Stop(t.Context()))
	pr.st.RemoveFromList(first)
	pr.st.Kill(second)
	pr.dropVM(second)
	for range 2 {
		nd, err := pr.st.StartVM("west")
		is.NoErr(err)
		pr.addVM(nd)
		eventually(t, "a map at the new VM", func() bool { return allShardsLive(nd) })
	}
	pr.awaitRevision(got.Revision)
	pr.awaitSearches(50)
	pr.st.KV().SetFaults(emul.KVFaults{})
	last := <-reply
	is.Equal(last.Result, wire.ChangeAccepted)
	is.Equal(last.Revision, got.Revision+1)
	pr.awaitRevision(last.Revision)
}

func allShardsLive(nd *node.Node) bool {
	registers := nd.Status().Registers
	return len(registers) > 0 && registers[0].Shards > 0 && registers[0].Live == registers[0].Shards
}
