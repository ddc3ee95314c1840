package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"laburnumvane/io/edge"
	"laburnumvane/platform"
	"laburnumvane/platform/fakes"
)

const (
	// tryShards is the number of shards of the sample.
	tryShards = 6
	// tryTimeout is the longest wait for one condition.
	tryTimeout = 10 * time.Second
	// tryPollInterval is the time between two checks of a condition.
	tryPollInterval = 20 * time.Millisecond
)

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "send routed requests through three VMs and stand-ins",
		Description: `try starts stand-ins for the platform's store and for upstream servers, and
three VMs of "gateway", all in one process on loopback. It sends requests while a
server drains, the configuration changes and the store does not answer, and prints
the responses that a client gets. It then adds client accounts, removes a key and
sends many times the limit of one account.

Examples:
   laburnumvane try`,
		Action: tryAction,
	}
}

func tryAction(_ context.Context, cmd *cli.Command) error {
	silenceHertz()
	tr := &tryRun{out: cmd.Root().Writer}
	defer tr.close()
	if err := tr.run(); err != nil {
		return &Error{Op: cmd.FullName(), Kind: KindFailure, Err: err}
	}
	return nil
}

// tryRun is one run of the command.
type tryRun struct {
	out   io.Writer
	site  *fakes.Site
	vms   []fakes.VM
	edges []*edge.Edge
	sent  int
	// key is the key of the requests; empty means that they have none.
	key string
	// metricsPort is the port of the VMs' metrics; 0 turns them off.
	metricsPort int
}

func (tr *tryRun) close() {
	for _, eg := range tr.edges {
		eg.Abort()
	}
	if tr.site != nil {
		tr.site.Close()
	}
}

func (tr *tryRun) run() error {
	if err := tr.start(); err != nil {
		return err
	}
	tr.sendAndPrint("a search over all shards", fakes.PathSearch+"2f")
	tr.sendAndPrint("a request to one server", fakes.PathLedger+"2f")
	leaving := tr.site.Server(fakes.Shard(0), "east")
	tr.site.PutEntry(leaving, "draining", 2)
	tr.sendAndPrint("a search while a server leaves", fakes.PathSearch+"2f")
	tr.site.Store.SetAll(fakes.Silent)
	tr.sendAndPrint("a search while the store is away", fakes.PathSearch+"2f")
	tr.site.Store.SetAll(fakes.Serving)
	tr.site.Configure([]fakes.Route{{"name": "new", "host": fakes.Host, "path_prefix": "/new/", "route_type": "safe",
		"timeout_ms": 2000, "target_latency_ms": 400, "priority": 2, "service": "ledger", "max_attempts": 2}})
	start := time.Now()
	tr.waitUntil(func() bool { return tr.send("/new/2f").status == http.StatusOK })
	fmt.Fprintf(tr.out, "a new route is in force after %v\n", time.Since(start).Round(time.Millisecond))
	tr.sendAndPrint("a path without route", "/nowhere/")
	tr.showAccounts()
	return nil
}

// start starts the stand-ins and the VMs, and waits until each VM reaches all shards.
func (tr *tryRun) start() error {
	dataCentres := []string{"east", "west", "south"}
	site, err := fakes.New(fakes.Config{DataCentres: dataCentres, Shards: tryShards})
	if err != nil {
		return err
	}
	tr.site = site
	for i, dataCentre := range dataCentres {
		vm, err := site.VM(fmt.Sprintf("vm-%d", i+1), dataCentre, tr.vms...)
		if err != nil {
			return err
		}
		set, err := platform.ParseSettings([]byte(vm.Settings))
		if err != nil {
			return err
		}
		eg, err := edge.Start(set.Edge(tr.metricsPort, &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: tr.out}}))
		if err != nil {
			return err
		}
		tr.vms = append(tr.vms, vm)
		tr.edges = append(tr.edges, eg)
		fmt.Fprintf(tr.out, "vm-%d in %s, clients at %s\n", i+1, dataCentre, vm.ClientAddr)
	}
	for range tr.vms {
		tr.waitUntil(func() bool { return tr.send(fakes.PathSearch).missing == "0" })
	}
	return nil
}

// waitUntil polls a condition until it holds or tryTimeout has passed. A time-out is not reported
// here; it shows in the answers that are printed next.
func (tr *tryRun) waitUntil(ok func() bool) {
	for end := time.Now().Add(tryTimeout); !ok() && time.Now().Before(end); {
		time.Sleep(tryPollInterval)
	}
}

// tryResponse is the response that a client received.
type tryResponse struct {
	vm      int
	status  int
	missing string
	// account is the account that servers got.
	account    string
	retryAfter string
	bytes      int
	took       time.Duration
	err        error
}

// send sends a GET request to the next VM in turn.
func (tr *tryRun) send(path string) tryResponse {
	tr.sent++
	an := tryResponse{vm: tr.sent%len(tr.vms) + 1}
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+tr.vms[an.vm-1].ClientAddr+path, nil)
	if err != nil {
		an.err = err
		return an
	}
	rq.Host = fakes.Host
	rq.Header.Set(platform.HeaderRequestID, fmt.Sprintf("try-%d", tr.sent))
	if tr.key != "" {
		rq.Header.Set("Authorization", "Bearer "+tr.key)
	}
	start := time.Now()
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		an.err = err
		return an
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	an.status, an.missing, an.bytes, an.took, an.err = rs.StatusCode, rs.Header.Get(platform.HeaderMissing), len(body), time.Since(start), err
	an.account, an.retryAfter = tr.accountSeen(rq.Header.Get(platform.HeaderRequestID)), rs.Header.Get("Retry-After")
	return an
}

func (tr *tryRun) sendAndPrint(what, path string) {
	an := tr.send(path)
	if an.err != nil {
		fmt.Fprintf(tr.out, "%s: vm-%d: %v\n", what, an.vm, an.err)
		return
	}
	missing := ""
	if an.missing != "" {
		missing = fmt.Sprintf(", %s of %d shards missing", an.missing, tryShards)
	}
	account := ""
	if an.account != "" {
		account = fmt.Sprintf(", account %q at the server", an.account)
	}
	fmt.Fprintf(tr.out, "%s: vm-%d answers %d, %d bytes%s%s, %v\n", what, an.vm, an.status, an.bytes, missing, account, an.took.Round(100*time.Microsecond))
}
