package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"laburnumvane/core/team"
	"laburnumvane/io/client"
	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

// worldConfig sets the processes of a test.
type worldConfig struct {
	vms         int
	serviceTime time.Duration
	// dataCentres place the VMs otherwise than in turn.
	dataCentres []string
	// emulate are flags of the stand-ins beyond the ports.
	emulate []string
	// serve are settings of all VMs beyond the addresses.
	serve []string
	// hardDeadline is that of every search.
	hardDeadline time.Duration
}

// world is an "emulate" and the VMs started against it.
type world struct {
	t     *testing.T
	cfg   worldConfig
	stage stageOutput
	admin *emul.Admin
	vms   []*vmProc
	trans *http.Transport
	// platform is the process of the stand-ins.
	platform *proc
}

// vmProc is a VM in a process of its own.
type vmProc struct {
	*proc

	plan     plannedVM
	caller   *client.Caller
	operator *client.Operator
}

// startWorld starts the stand-ins and the VMs, and returns once all VMs search
// the whole register and know one another.
func startWorld(t *testing.T, cfg worldConfig) *world {
	t.Helper()
	needProgram(t)
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	wd := &world{t: t, cfg: cfg, trans: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(wd.trans.CloseIdleConnections)
	wd.startStage()
	for i := range cfg.vms {
		wd.vms = append(wd.vms, wd.boot(i))
	}
	wd.awaitReady(wd.vms...)
	wd.edit(wd.vms[0], func(doc *team.Document) {
		for name, se := range doc.Searches {
			se.SoftDeadlineMs, se.HardDeadlineMs = 0, cfg.hardDeadline.Milliseconds()
			doc.Searches[name] = se
		}
	})
	return wd
}

func (wd *world) startStage() {
	t := wd.t
	t.Helper()
	is := is.New(t)
	var out lockedBuffer
	args := append([]string{
		"emulate", "--json", "--port", strconv.Itoa(freePorts(t, wd.cfg.vms)),
		"--vms", strconv.Itoa(wd.cfg.vms), "--service-time", wd.cfg.serviceTime.String(),
	}, wd.cfg.emulate...)
	pr := launch(t, "emulate", &out, args...)
	eventually(t, "the stand-ins' addresses", func() bool {
		select {
		case <-pr.exited:
			t.Fatalf("emulate ended with %d", pr.exitCode())
		default:
		}
		return json.Unmarshal([]byte(out.String()), &wd.stage) == nil
	})
	wd.platform = pr
	wd.admin = emul.NewAdmin(wd.stage.Admin)
	t.Cleanup(wd.admin.Close)
	for i, dc := range wd.cfg.dataCentres {
		wd.stage.Plan[i].DataCentre = dc
		vm := wire.VM{Addr: wd.stage.Plan[i].Inner, DataCentre: dc, Region: emulateRegion, State: wire.VMLive}
		is.NoErr(wd.admin.VMs(t.Context(), emul.VMsRequest{Set: []wire.VM{vm}}))
	}
}

// freePorts is a first port for emulate, below those that the system gives to
// connections, of which one could be taken before a VM listens on it.
func freePorts(t *testing.T, vms int) int {
	t.Helper()
	const lowest, highest, tries = 12_000, 30_000, 50
	for range tries {
		first := lowest + rand.IntN(highest-lowest)
		if allFree(first, portFirstVM+portsOfVM*vms) {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		ln, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// boot starts the process of a planned VM, perhaps again.
func (wd *world) boot(i int, more ...string) *vmProc {
	t := wd.t
	t.Helper()
	is := is.New(t)
	plan := wd.stage.Plan[i]
	args := append([]string{
		"serve", "--data-centre", plan.DataCentre, "--region", emulateRegion, "--kv", wd.stage.KV, "--vm-list", wd.stage.VMList,
		"--caller-addr", plan.Caller, "--operator-addr", plan.Operator, "--inner-addr", plan.Inner,
	}, wd.cfg.serve...)
	vm := &vmProc{plan: plan, proc: launch(t, fmt.Sprintf("VM %d", i), nil, append(args, more...)...)}
	var err error
	vm.caller, err = client.NewCaller(client.Config{URL: "http://" + plan.Caller, Timeout: patience, Transport: wd.trans})
	is.NoErr(err)
	vm.operator, err = client.NewOperator(client.Config{URL: "http://" + plan.Operator, Timeout: patience, Transport: wd.trans})
	is.NoErr(err)
	return vm
}

// status is the VM's view; the zero one where it does not answer in a moment.
func (vm *vmProc) status() wire.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	st, err := vm.operator.Status(ctx)
	if err != nil {
		return wire.Status{}
	}
	return st
}

func (vm *vmProc) revision() uint64 {
	for _, tm := range vm.status().Teams {
		if tm.Team == demoTeam {
			return tm.Revision
		}
	}
	return 0
}

// metric reads a counter; one that never counted is 0.
func (vm *vmProc) metric(t *testing.T, name string) float64 {
	t.Helper()
	raw, err := vm.operator.Metrics(t.Context())
	is.New(t).NoErr(err)
	var all map[string]float64
	is.New(t).NoErr(json.Unmarshal(raw, &all))
	return all[name]
}

// awaitReady waits until the VMs have every shard and know one another.
func (wd *world) awaitReady(vms ...*vmProc) {
	wd.t.Helper()
	for _, vm := range vms {
		eventually(wd.t, vm.name+" is ready", func() bool {
			st := vm.status()
			if len(st.Registers) == 0 || st.Registers[0].Shards == 0 || st.Registers[0].Live < st.Registers[0].Shards {
				return false
			}
			live := 0
			for _, other := range st.VMs {
				if other.State == "live" {
					live++
				}
			}
			return live >= len(vms)
		})
	}
}

// edit changes the team's configuration through a VM, and returns the new
// revision once all VMs of the world have it.
func (wd *world) edit(vm *vmProc, change func(*team.Document)) uint64 {
	wd.t.Helper()
	rev := wd.offer(vm, change)
	for _, one := range wd.vms {
		eventually(wd.t, fmt.Sprintf("%s has revision %d", one.name, rev), func() bool { return one.revision() >= rev })
	}
	return rev
}

// offer changes the team's configuration and returns the new revision.
func (wd *world) offer(vm *vmProc, change func(*team.Document)) uint64 {
	wd.t.Helper()
	is := is.New(wd.t)
	held, err := vm.operator.Config(wd.t.Context(), demoTeam)
	is.NoErr(err)
	ry, err := vm.operator.SetConfig(wd.t.Context(), client.Change{
		Team: demoTeam, Document: changed(wd.t, held.Document, change), IfRevision: held.Revision,
	})
	is.NoErr(err)
	is.Equal(ry.Result, wire.ChangeAccepted)
	return ry.Revision
}

func changed(t *testing.T, raw json.RawMessage, change func(*team.Document)) json.RawMessage {
	t.Helper()
	var doc team.Document
	is.New(t).NoErr(json.Unmarshal(raw, &doc))
	change(&doc)
	out, err := json.Marshal(doc)
	is.New(t).NoErr(err)
	return out
}

// hitLimit is a change whose effect is told apart by its number.
func hitLimit(n int) func(*team.Document) {
	return func(doc *team.Document) {
		se := doc.Searches["kiosk"]
		se.HitLimit = n
		doc.Searches["kiosk"] = se
	}
}

// runs counts what the upstreams ran of a query.
func (wd *world) runs(query json.RawMessage) emul.RunsReply {
	wd.t.Helper()
	ry, err := wd.admin.Runs(wd.t.Context(), emul.RunsRequest{Query: string(query)})
	is.New(wd.t).NoErr(err)
	return ry
}

// ticket takes one ticket of a VM.
func (wd *world) ticket(vm *vmProc) string {
	wd.t.Helper()
	ry, err := vm.caller.Tickets(wd.t.Context(), wire.TicketRequest{Team: demoTeam})
	is.New(wd.t).NoErr(err)
	return ry.Tickets[0]
}

// slow lets every sub-request take so many times the service time; 1 mends.
func (wd *world) slow(times float64) {
	wd.t.Helper()
	rq := emul.UpstreamFaultRequest{Target: emul.EveryUpstream}
	if times > 1 {
		rq.SlowShare, rq.SlowTimes = 1, times
	}
	_, err := wd.admin.Upstream(wd.t.Context(), rq)
	is.New(wd.t).NoErr(err)
}

// ownQuery gives a search a text of its own, by which its runs are counted.
func ownQuery(who string, n int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"plate":"%s-%d"}`, who, n))
}

// renewal is a search that must not be repeated.
func renewal(ticket string, query json.RawMessage) wire.SearchRequest {
	return wire.SearchRequest{Team: demoTeam, Search: "renewal", Query: query, Repeat: wire.RepeatNever, Ticket: ticket}
}

// answered is what a caller has of a search: an answer or an error.
type answered struct {
	an  wire.SearchAnswer
	err error
}

// searchAside sends a search and gives its end, which comes once.
func (vm *vmProc) searchAside(rq wire.SearchRequest) <-chan answered {
	done := make(chan answered, 1)
	go func() {
		an, err := vm.caller.Search(context.Background(), rq)
		done <- answered{an: an, err: err}
	}()
	return done
}
