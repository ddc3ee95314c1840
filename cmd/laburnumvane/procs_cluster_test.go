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

// clusterConfig configures the processes of a test.
type clusterConfig struct {
	vms         int
	serviceTime time.Duration
	// dataCentres are the VMs' data centres; nil keeps the two of emulate in turn.
	dataCentres []string
	// emulate are additional flags of the emulate process.
	emulate []string
	// serve are additional flags of every VM.
	serve []string
	// hardDeadline is the hard deadline of every kind of search.
	hardDeadline time.Duration
}

// cluster is an emulate process and the VMs that use it.
type cluster struct {
	t     *testing.T
	cfg   clusterConfig
	stage stageOutput
	admin *emul.Admin
	vms   []*vmProc
	trans *http.Transport
	// platform is the emulate process.
	platform *proc
}

// vmProc is a VM that runs as a separate process.
type vmProc struct {
	*proc

	plan     plannedVM
	caller   *client.Caller
	operator *client.Operator
}

// startCluster starts emulate and the VMs, and returns once all VMs reach every shard and see each
// other as live.
func startCluster(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	needProgram(t)
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	clu := &cluster{t: t, cfg: cfg, trans: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(clu.trans.CloseIdleConnections)
	clu.startStage()
	for i := range cfg.vms {
		clu.vms = append(clu.vms, clu.startVM(i))
	}
	clu.awaitReady(clu.vms...)
	clu.changeConfig(clu.vms[0], func(doc *team.Document) {
		for name, se := range doc.Searches {
			se.SoftDeadlineMs, se.HardDeadlineMs = 0, cfg.hardDeadline.Milliseconds()
			doc.Searches[name] = se
		}
	})
	return clu
}

func (clu *cluster) startStage() {
	t := clu.t
	t.Helper()
	is := is.New(t)
	var out lockedBuffer
	args := append([]string{
		"emulate", "--json", "--port", strconv.Itoa(freePorts(t, clu.cfg.vms)),
		"--vms", strconv.Itoa(clu.cfg.vms), "--service-time", clu.cfg.serviceTime.String(),
	}, clu.cfg.emulate...)
	pr := launch(t, "emulate", &out, args...)
	eventually(t, "the addresses that emulate prints", func() bool {
		select {
		case <-pr.exited:
			t.Fatalf("emulate ended with %d", pr.exitCode())
		default:
		}
		return json.Unmarshal([]byte(out.String()), &clu.stage) == nil
	})
	clu.platform = pr
	clu.admin = emul.NewAdmin(clu.stage.Admin)
	t.Cleanup(clu.admin.Close)
	for i, dc := range clu.cfg.dataCentres {
		clu.stage.Plan[i].DataCentre = dc
		vm := wire.VM{Addr: clu.stage.Plan[i].Inner, DataCentre: dc, Region: emulateRegion, State: wire.VMLive}
		is.NoErr(clu.admin.VMs(t.Context(), emul.VMsRequest{Set: []wire.VM{vm}}))
	}
}

// freePorts returns the first of the free ports that emulate needs. They are below the ephemeral
// ports: the system could give one of those to a connection before a VM listens on it.
func freePorts(t *testing.T, vms int) int {
	t.Helper()
	const lowest, highest, tries = 12_000, 30_000, 50
	for range tries {
		first := lowest + rand.IntN(highest-lowest)
		if allFree(first, portFirstVM+portsPerVM*vms) {
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

// startVM starts the process of a planned VM, or starts it again after it has exited.
func (clu *cluster) startVM(i int, more ...string) *vmProc {
	t := clu.t
	t.Helper()
	is := is.New(t)
	plan := clu.stage.Plan[i]
	args := append([]string{
		"serve", "--data-centre", plan.DataCentre, "--region", emulateRegion, "--kv", clu.stage.KV, "--vm-list", clu.stage.VMList,
		"--caller-addr", plan.Caller, "--operator-addr", plan.Operator, "--inner-addr", plan.Inner,
	}, clu.cfg.serve...)
	vm := &vmProc{plan: plan, proc: launch(t, fmt.Sprintf("VM %d", i), nil, append(args, more...)...)}
	var err error
	vm.caller, err = client.NewCaller(client.Config{URL: "http://" + plan.Caller, Timeout: waitTimeout, Transport: clu.trans})
	is.NoErr(err)
	vm.operator, err = client.NewOperator(client.Config{URL: "http://" + plan.Operator, Timeout: waitTimeout, Transport: clu.trans})
	is.NoErr(err)
	return vm
}

// status returns the VM's status, or the zero value if it does not answer within 2 s.
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

// metric reads a counter; a counter that does not exist yet is 0.
func (vm *vmProc) metric(t *testing.T, name string) float64 {
	t.Helper()
	raw, err := vm.operator.Metrics(t.Context())
	is.New(t).NoErr(err)
	var all map[string]float64
	is.New(t).NoErr(json.Unmarshal(raw, &all))
	return all[name]
}

// awaitReady waits until the VMs have a live server for every shard and see each other as live.
func (clu *cluster) awaitReady(vms ...*vmProc) {
	clu.t.Helper()
	for _, vm := range vms {
		eventually(clu.t, vm.name+" is ready", func() bool {
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

// changeConfig changes the team's configuration through a VM, waits until all VMs have the change,
// and returns the new revision.
func (clu *cluster) changeConfig(vm *vmProc, change func(*team.Document)) uint64 {
	clu.t.Helper()
	rev := clu.submitChange(vm, change)
	for _, other := range clu.vms {
		eventually(clu.t, fmt.Sprintf("%s has revision %d", other.name, rev), func() bool { return other.revision() >= rev })
	}
	return rev
}

// submitChange submits a change of the team's configuration, which must be accepted, and returns the
// new revision.
func (clu *cluster) submitChange(vm *vmProc, change func(*team.Document)) uint64 {
	clu.t.Helper()
	is := is.New(clu.t)
	current, err := vm.operator.Config(clu.t.Context(), demoTeam)
	is.NoErr(err)
	ry, err := vm.operator.SetConfig(clu.t.Context(), client.Change{
		Team: demoTeam, Document: editedDocument(clu.t, current.Document, change), IfRevision: current.Revision,
	})
	is.NoErr(err)
	is.Equal(ry.Result, wire.ChangeAccepted)
	return ry.Revision
}

func editedDocument(t *testing.T, raw json.RawMessage, change func(*team.Document)) json.RawMessage {
	t.Helper()
	var doc team.Document
	is.New(t).NoErr(json.Unmarshal(raw, &doc))
	change(&doc)
	out, err := json.Marshal(doc)
	is.New(t).NoErr(err)
	return out
}

// setHitLimit returns a change of the kiosk search that can be identified by its number.
func setHitLimit(n int) func(*team.Document) {
	return func(doc *team.Document) {
		se := doc.Searches["kiosk"]
		se.HitLimit = n
		doc.Searches["kiosk"] = se
	}
}

// runs returns how often the upstreams ran a query.
func (clu *cluster) runs(query json.RawMessage) emul.RunsReply {
	clu.t.Helper()
	ry, err := clu.admin.Runs(clu.t.Context(), emul.RunsRequest{Query: string(query)})
	is.New(clu.t).NoErr(err)
	return ry
}

// ticket takes one ticket from a VM.
func (clu *cluster) ticket(vm *vmProc) string {
	clu.t.Helper()
	ry, err := vm.caller.Tickets(clu.t.Context(), wire.TicketRequest{Team: demoTeam})
	is.New(clu.t).NoErr(err)
	return ry.Tickets[0]
}

// setSlowdown makes every sub-request take the given multiple of the service time; 1 ends the fault.
func (clu *cluster) setSlowdown(times float64) {
	clu.t.Helper()
	rq := emul.UpstreamFaultRequest{Target: emul.EveryUpstream}
	if times > 1 {
		rq.SlowShare, rq.SlowTimes = 1, times
	}
	_, err := clu.admin.Upstream(clu.t.Context(), rq)
	is.New(clu.t).NoErr(err)
}

// uniqueQuery returns a query with a text of its own, by which its runs are counted.
func uniqueQuery(name string, n int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"plate":"%s-%d"}`, name, n))
}

// renewal returns a request for a search that must not be repeated.
func renewal(ticket string, query json.RawMessage) wire.SearchRequest {
	return wire.SearchRequest{Team: demoTeam, Search: "renewal", Query: query, Repeat: wire.RepeatNever, Ticket: ticket}
}

// searchResult is the answer to a search, or its error.
type searchResult struct {
	an  wire.SearchAnswer
	err error
}

// searchAsync starts a search and returns the channel that receives its result.
func (vm *vmProc) searchAsync(rq wire.SearchRequest) <-chan searchResult {
	done := make(chan searchResult, 1)
	go func() {
		an, err := vm.caller.Search(context.Background(), rq)
		done <- searchResult{an: an, err: err}
	}()
	return done
}
