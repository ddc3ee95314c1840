package site_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/server"
	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/oper"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

// waitTimeout is the longest wait for a condition.
const waitTimeout = 60 * time.Second

// eventually polls until ok holds, and fails the test after waitTimeout. No test depends on how long
// it takes.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("time-out while waiting for: %s", what)
		}
	}
}

func startSite(t *testing.T, cfg site.Config) *site.Site {
	t.Helper()
	is := is.New(t)
	rg := emul.NewRegister("members")
	for _, raw := range []string{`{"member":"m1","plate":"A1"}`, `{"member":"m2","plate":"A2"}`, `{"member":"m3","plate":"A3"}`} {
		is.NoErr(rg.Put(json.RawMessage(raw)))
	}
	cfg.Team = "wash"
	cfg.Region = "isle"
	cfg.Register = rg
	cfg.Slots = 3
	if cfg.ServiceTime == nil {
		cfg.ServiceTime = func(rd *rand.Rand) time.Duration { return time.Duration(1+rd.IntN(3)) * time.Millisecond }
	}
	cfg.Searches = map[string]team.Search{"lookup": {Class: team.ClassUrgent, HardDeadlineMs: 5000, HitLimit: 10, Retry: team.Retry{Budget: 0.5, PerShard: 2}}}
	cfg.Log = &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: io.Discard}}
	st, err := site.Start(cfg)
	is.NoErr(err)
	t.Cleanup(st.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	return st
}

// startLoad sends searches to all VMs until the returned function is called, which returns the report.
func startLoad(t *testing.T, st *site.Site, rate float64) func() emul.LoadReport {
	t.Helper()
	var targets []string
	for _, nd := range st.Nodes() {
		targets = append(targets, nd.Addrs().Caller)
	}
	return startLoadAt(t, rate, targets...)
}

func startLoadAt(t *testing.T, rate float64, targets ...string) func() emul.LoadReport {
	t.Helper()
	is := is.New(t)
	lo, err := emul.NewLoad(emul.LoadConfig{
		Targets: targets, Rate: rate, Count: 100_000, Duration: 2 * time.Minute, Seed: 1, Timeout: 10 * time.Second,
		Request: func(*rand.Rand, int) wire.SearchRequest {
			return wire.SearchRequest{Team: "wash", Search: "lookup", Query: json.RawMessage(`{"plate":"A1"}`)}
		},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done := make(chan emul.LoadReport, 1)
	go func() {
		report, err := lo.Run(ctx)
		if err != nil {
			t.Error(err)
		}
		done <- report
	}()
	return func() emul.LoadReport {
		cancel()
		return <-done
	}
}

// Six VMs under load together must never open more connections to a server than it accepts, so that it
// refuses none. In the first version each VM computed its share before it knew of the other VMs, and
// so took the whole limit.
func TestConnectionsStayWithinLimit(t *testing.T) {
	is := is.New(t)
	const limit = 8
	st := startSite(t, site.Config{
		VMs: 6, DataCentres: []string{"east", "west"}, Services: 2, Connections: limit,
		ServiceTime: func(rd *rand.Rand) time.Duration { return time.Duration(10+rd.IntN(30)) * time.Millisecond },
	})
	stop := startLoad(t, st, 1500)
	most := 0
	for range 1600 {
		for _, sv := range st.Fleet().Servers() {
			open, _ := sv.Upstream.Connections()
			most = max(most, open)
		}
		time.Sleep(5 * time.Millisecond)
	}
	report := stop()
	refused := uint64(0)
	for _, sv := range st.Fleet().Servers() {
		_, re := sv.Upstream.Connections()
		refused += re
	}
	t.Logf("at most %d connections of %d; %d refused; %+v", most, limit, refused, report)
	is.True(most <= limit)
	is.Equal(refused, uint64(0))
}

// upstreamStatus returns the status of the server at addr as a VM reports it, or the zero value.
func upstreamStatus(st *site.Site, vm int, addr string) wire.UpstreamOfVM {
	for _, sv := range st.Nodes()[vm].Status().Upstreams {
		if sv.Addr == addr {
			return sv
		}
	}
	return wire.UpstreamOfVM{}
}

func atEveryVM(st *site.Site, addr string, ok func(wire.UpstreamOfVM) bool) bool {
	for vm := range st.Nodes() {
		if !ok(upstreamStatus(st, vm, addr)) {
			return false
		}
	}
	return true
}

// awaitDrained waits until every VM lists a server as draining, and logs the time since start.
func awaitDrained(t *testing.T, st *site.Site, addr string, start time.Time) {
	t.Helper()
	eventually(t, "draining at every VM", func() bool {
		return atEveryVM(st, addr, func(up wire.UpstreamOfVM) bool { return up.State == "draining" })
	})
	t.Logf("known to %d VMs after %v", len(st.Nodes()), time.Since(start).Round(time.Millisecond))
}

// awaitRuns waits until the servers have run n more sub-requests.
func awaitRuns(t *testing.T, st *site.Site, n uint64) {
	t.Helper()
	from := st.Fleet().Runs()
	eventually(t, "sub-requests on the servers", func() bool { return st.Fleet().Runs() >= from+n })
}

// A server begins to drain under load while its load and health endpoints still report that it serves.
// One VM learns of the drain from the first refusal and signals it to the others of the data centre.
// From then on no VM may send anything to the server, which finishes what it has started. The false
// endpoint reports must have no effect during this incarnation; the next incarnation is ramped up and
// used. All answers must be complete.
func TestDrainUnderLoadWithLyingHealth(t *testing.T) {
	is := is.New(t)
	st := startSite(t, site.Config{VMs: 4, DataCentres: []string{"east"}, Services: 2, Connections: 30})
	stop := startLoad(t, st, 300)
	sv := st.Fleet().Servers()[0]
	eventually(t, "sub-requests on the server", func() bool { return sv.Upstream.Runs() > 50 })
	sv.Upstream.SetFaults(emul.UpstreamFaults{ClaimedState: wire.UpstreamServing})
	start := time.Now()
	sv.Upstream.SetState(wire.UpstreamDraining)
	awaitDrained(t, st, sv.Addr, start)
	awaitRuns(t, st, 100) // searches that started before the drain was known have ended
	refused, runs := sv.Upstream.Refused(wire.RefusalDraining), sv.Upstream.Runs()
	awaitRuns(t, st, 1000)
	is.Equal(sv.Upstream.Refused(wire.RefusalDraining), refused) // no new work
	is.Equal(sv.Upstream.Runs(), runs)
	is.True(atEveryVM(st, sv.Addr, func(up wire.UpstreamOfVM) bool { return up.State == "draining" }))

	sv.Upstream.Crash()
	sv.Upstream.SetFaults(emul.UpstreamFaults{})
	is.NoErr(sv.Upstream.Restart(wire.UpstreamServing))
	eventually(t, "sub-requests on the next incarnation", func() bool { return sv.Upstream.Runs() > runs })
	report := stop()
	t.Logf("%d refusals for draining; %+v", refused, report)
	is.Equal(report.Outcomes[wire.OutcomeComplete], report.Arrivals)
}

// Only the first VM has traffic, and is refused by a draining server. The VMs without traffic can learn
// of the drain only from the first VM's signal: the server's endpoints report that it serves, and the
// VM list lags by a minute.
func TestDrainIsToldToQuietVM(t *testing.T) {
	is := is.New(t)
	st := startSite(t, site.Config{VMs: 9, DataCentres: []string{"east"}, Services: 1, Connections: 30})
	eventually(t, "VMs that list each other", func() bool {
		for _, nd := range st.Nodes() {
			if len(nd.Status().VMs) != len(st.Nodes()) {
				return false
			}
		}
		return true
	})
	st.VMs().SetLag(time.Minute) // the list of a minute ago has none of the VMs
	sv := st.Fleet().Servers()[1]
	sv.Upstream.SetFaults(emul.UpstreamFaults{ClaimedState: wire.UpstreamServing})
	sv.Upstream.SetState(wire.UpstreamDraining)
	stop := startLoadAt(t, 200, st.Nodes()[0].Addrs().Caller)
	eventually(t, "the first refusal", func() bool { return sv.Upstream.Refused(wire.RefusalDraining) > 0 })
	awaitDrained(t, st, sv.Addr, time.Now())
	for vm := 1; vm < len(st.Nodes()); vm++ {
		is.Equal(upstreamStatus(st, vm, sv.Addr).Why, server.WhySignLeaving)
	}
	is.Equal(stop().Failed, uint64(0))
}

// A server crashes with sub-requests in flight. After failures of traffic and of probes its state is
// "gone", and it gets no more sub-requests. After its restart a probe finds the new incarnation, and it
// is ramped up. All searches must be answered, a few of them later.
func TestCrashAndRestart(t *testing.T) {
	is := is.New(t)
	st := startSite(t, site.Config{VMs: 2, DataCentres: []string{"east"}, Services: 2, Connections: 30})
	stop := startLoad(t, st, 200)
	sv := st.Fleet().Servers()[0]
	eventually(t, "sub-requests on the server", func() bool { return sv.Upstream.Runs() > 20 })
	sv.Upstream.Crash()
	eventually(t, "state gone at every VM", func() bool {
		return atEveryVM(st, sv.Addr, func(up wire.UpstreamOfVM) bool { return up.State == "gone" })
	})
	is.NoErr(sv.Upstream.Restart(wire.UpstreamServing))
	eventually(t, "serving again at every VM", func() bool {
		return atEveryVM(st, sv.Addr, func(up wire.UpstreamOfVM) bool {
			return up.State == "serving" && up.Incarnation == 2
		})
	})
	report := stop()
	t.Logf("%+v", report)
	is.Equal(report.Outcomes[wire.OutcomeNotRun], uint64(0))
	is.Equal(report.Failed, uint64(0))
}

// Answers must follow each new snapshot, including one with another number of shards, and no search may
// mix snapshots. A snapshot that the servers have dropped must not be requested again.
func TestSnapshotsFollow(t *testing.T) {
	is := is.New(t)
	st := startSite(t, site.Config{VMs: 2, DataCentres: []string{"east", "west"}, Services: 3, Connections: 30})
	stop := startLoad(t, st, 100)
	for _, shards := range []int{3, 6, 6, 3, 9} {
		sn, err := st.Fleet().Publish(shards)
		is.NoErr(err)
		eventually(t, "the new snapshot at every VM", func() bool {
			for _, nd := range st.Nodes() {
				rg := nd.Status().Registers[0]
				if rg.Snapshot != sn.Version || rg.Shards != shards || rg.Live != shards {
					return false
				}
			}
			return true
		})
	}
	report := stop()
	t.Logf("%+v", report)
	is.Equal(report.Outcomes[wire.OutcomeComplete], report.Arrivals)
}

// An operator removes a server from the configuration. The server must be drained, removed from the
// maps, and get no more connections or polls, and no answer may lack a shard. Once it is in the
// configuration again, it must be used again.
func TestServerLeavesConfiguration(t *testing.T) {
	is := is.New(t)
	st := startSite(t, site.Config{VMs: 2, DataCentres: []string{"east"}, Services: 1, Connections: 30})
	stop := startLoad(t, st, 200)
	sv := st.Fleet().Servers()[0]
	eventually(t, "sub-requests on the server", func() bool { return sv.Upstream.Runs() > 20 })
	whole := st.Document()
	less := st.Document()
	for _, rg := range less.Registers {
		for name, sc := range rg.Services {
			sc.Servers = slices.DeleteFunc(slices.Clone(sc.Servers), func(sr team.Server) bool { return sr.Addr == sv.Addr })
			rg.Services[name] = sc
		}
	}
	changeConfig(t, st, less)
	eventually(t, "drained at every VM", func() bool {
		return atEveryVM(st, sv.Addr, func(up wire.UpstreamOfVM) bool { return up.Why == server.WhyRemoved })
	})
	eventually(t, "no connection left", func() bool {
		open, _ := sv.Upstream.Connections()
		return open == 0
	})
	runs := sv.Upstream.Runs()
	awaitRuns(t, st, 200)
	is.Equal(sv.Upstream.Runs(), runs)
	changeConfig(t, st, whole)
	eventually(t, "used again", func() bool { return sv.Upstream.Runs() > runs })
	report := stop()
	t.Logf("%+v", report)
	is.Equal(report.Outcomes[wire.OutcomeComplete], report.Arrivals)
}

func changeConfig(t *testing.T, st *site.Site, doc team.Document) {
	t.Helper()
	is := is.New(t)
	raw, err := json.Marshal(doc)
	is.NoErr(err)
	reply, err := st.Nodes()[0].Change(context.Background(), oper.Proposal{Team: doc.Team, Document: raw})
	is.NoErr(err)
	is.Equal(reply.Result, wire.ChangeAccepted)
}

// A server accepts connections but never answers, neither searches nor on its endpoints. Time-outs must
// make its state "suspect", and unanswered probes "gone". Once it answers again, it must be used again.
// Callers still get complete answers, a few of them late.
func TestServerThatNeverAnswers(t *testing.T) {
	is := is.New(t)
	st := startSite(t, site.Config{VMs: 2, DataCentres: []string{"east"}, Services: 2, Connections: 30})
	stop := startLoad(t, st, 200)
	sv := st.Fleet().Servers()[0]
	eventually(t, "sub-requests on the server", func() bool { return sv.Upstream.Runs() > 20 })
	sv.Upstream.SetFaults(emul.UpstreamFaults{Mute: true})
	eventually(t, "suspect or gone at every VM", func() bool {
		return atEveryVM(st, sv.Addr, func(up wire.UpstreamOfVM) bool { return up.State == "gone" || up.State == "suspect" })
	})
	sv.Upstream.SetFaults(emul.UpstreamFaults{})
	eventually(t, "used again at every VM", func() bool {
		return atEveryVM(st, sv.Addr, func(up wire.UpstreamOfVM) bool { return up.State == "serving" })
	})
	report := stop()
	t.Logf("%+v", report)
	is.Equal(report.Failed, uint64(0))
}

// Every server of the register crashes and restarts cold at the same time, refuses sub-requests while it
// is cold, and then serves. Callers get partial answers or refusals while no server serves, and
// complete answers soon after. All servers stay in the maps, as the last replica of a shard is never
// "gone".
func TestColdStartOfAllServers(t *testing.T) {
	is := is.New(t)
	st := startSite(t, site.Config{VMs: 2, DataCentres: []string{"east"}, Services: 2, Connections: 30})
	stop := startLoad(t, st, 100)
	servers := st.Fleet().Servers()
	eventually(t, "sub-requests on the servers", func() bool { return st.Fleet().Runs() > 50 })
	for _, sv := range servers {
		sv.Upstream.Crash()
	}
	time.Sleep(time.Second)
	for _, sv := range servers {
		is.NoErr(sv.Upstream.Restart(wire.UpstreamCold))
	}
	time.Sleep(time.Second)
	for _, sv := range servers {
		sv.Upstream.SetState(wire.UpstreamServing)
	}
	eventually(t, "all servers serving at every VM", func() bool {
		for _, sv := range servers {
			if !atEveryVM(st, sv.Addr, func(up wire.UpstreamOfVM) bool { return up.State == "serving" && up.Incarnation == 2 }) {
				return false
			}
		}
		return true
	})
	stop()
	report := startLoad(t, st, 100)
	runs := st.Fleet().Runs()
	eventually(t, "searches after the restart", func() bool { return st.Fleet().Runs() > runs+100 })
	after := report()
	t.Logf("%+v", after)
	is.Equal(after.Outcomes[wire.OutcomeComplete], after.Arrivals)
}

// All VMs are replaced at once. The new ones still get the VM list with the killed VMs, and start with
// one connection each. The servers must refuse no connection.
func TestAllVMsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	const limit = 8
	st := startSite(t, site.Config{VMs: 6, DataCentres: []string{"east", "west"}, Services: 2, Connections: limit})
	for _, nd := range slices.Clone(st.Nodes()) {
		st.Kill(nd)
	}
	for i := range 6 {
		_, err := st.StartVM([]string{"east", "west"}[i%2])
		is.NoErr(err)
	}
	var targets []string
	for _, nd := range st.Nodes() {
		eventually(t, "a map of the register", func() bool {
			registers := nd.Status().Registers
			return len(registers) > 0 && registers[0].Live == registers[0].Shards
		})
		targets = append(targets, nd.Addrs().Caller)
	}
	stop := startLoadAt(t, 500, targets...)
	time.Sleep(8 * time.Second)
	t.Logf("%+v", stop())
	for _, sv := range st.Fleet().Servers() {
		_, refused := sv.Upstream.Connections()
		is.Equal(refused, uint64(0))
	}
}

// One server drops the pinned snapshot before the others. Its first refusal must remove it from the map
// of that VM, so that few sub-requests are wasted on it, and the snapshot must stay pinned. All answers
// must be complete.
func TestServerDropsSnapshot(t *testing.T) {
	is := is.New(t)
	st := startSite(t, site.Config{VMs: 2, DataCentres: []string{"east"}, Services: 1, Connections: 30})
	stop := startLoad(t, st, 300)
	sv := st.Fleet().Servers()[0]
	eventually(t, "sub-requests on the server", func() bool { return sv.Upstream.Runs() > 20 })
	sn, err := st.Fleet().Publish(1)
	is.NoErr(err)
	eventually(t, "the second snapshot at every VM", func() bool {
		return !slices.ContainsFunc(st.Nodes(), func(nd *node.Node) bool { return nd.Status().Registers[0].Snapshot != sn.Version })
	})
	sv.Upstream.Retire(sn.Version)
	awaitRuns(t, st, 100) // searches with the old map have ended
	refused := sv.Upstream.Refused(wire.RefusalSnapshotGone)
	awaitRuns(t, st, 500)
	is.Equal(sv.Upstream.Refused(wire.RefusalSnapshotGone), refused)
	for _, nd := range st.Nodes() {
		is.Equal(nd.Status().Registers[0].Snapshot, sn.Version)
	}
	report := stop()
	t.Logf("%d refusals; %+v", refused, report)
	is.Equal(report.Outcomes[wire.OutcomeComplete], report.Arrivals)
}
