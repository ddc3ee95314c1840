package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

const (
	// defaultEmulatePort is the port that the help of serve names.
	defaultEmulatePort = 7800
	emulateRegion      = "home"
	emulateServices    = 6
	maxEmulatedVMs     = 50
	maxPort            = 65_535
	// portFirstVM is the offset from the first port to the callers' listener of the first VM. The
	// ports of its operators' and inner listeners follow.
	portFirstVM = 100
	portsPerVM  = 10
)

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "run stand-ins for platform and upstreams, to try VMs against",
		Description: `emulate runs, in this process and on loopback, what entry VMs need around them:
the platform's key-value service, with the first configuration of the team
"wash" in it, its VM list, and stand-in upstreams that hold a register in
shards with three replicas each. It starts no VM: it prints one "laburnumvane
serve" line for each of --vms, to be run in a shell of its own, and puts these
VMs on the list. They can be killed, frozen and stopped like any process.

--port is the key-value service's; the VM list has the next one, the
administration the one after, the upstreams those from 10 on and the VMs those
from 100 on. 0 takes free ones.

--register FILE holds your own register: one JSON object a line, each with a
string field "member".

"emulate fault" injects faults while it runs, and "emulate show" and "emulate
runs" show what the stand-ins recorded. SIGTERM or Ctrl-C ends it; the contents
of its key-value service are then lost.

Exit codes:
   0  stopped
   1  could not start: a port is taken, a register cannot be read
   2  a flag is wrong

Examples:
   laburnumvane emulate
   laburnumvane emulate --port 0 --vms 4 --json
   laburnumvane emulate --register members.jsonl --service-time 8ms
   laburnumvane emulate fault kv --down
   laburnumvane emulate fault upstream members-0 --crash`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "port", Value: defaultEmulatePort, Local: true, Usage: "first `PORT` on loopback; 0 takes free ones"},
			&cli.StringFlag{Name: "register", Local: true, Usage: "`FILE` of JSON lines to hold instead of the sample"},
			&cli.IntFlag{Name: "vms", Value: 3, Local: true, Usage: "`NUMBER` of VMs on the list, in two data centres in turn"},
			&cli.IntFlag{Name: "services", Value: emulateServices, Local: true, Usage: "`NUMBER` of services, each with a shard and three servers"},
			&cli.IntFlag{Name: "slots", Value: demoSlots, Local: true, Usage: "sub-requests that a server runs at once"},
			&cli.DurationFlag{Name: "service-time", Value: time.Millisecond, Local: true, Usage: "time that a sub-request takes"},
			&cli.BoolFlag{Name: "reports-only", Local: true, Usage: "servers use the newest snapshot, whichever is requested"},
			&cli.DurationFlag{Name: "lag", Local: true, Usage: "how old the served VM list is"},
			&cli.BoolFlag{Name: "json", Local: true, Usage: "print JSON, for scripts"},
		},
		Commands: []*cli.Command{
			emulateFaultCommand(),
			emulateShowCommand(),
			emulateRunsCommand(),
		},
		Action: emulateAction,
	}
}

func emulateAction(ctx context.Context, cmd *cli.Command) error {
	if err := checkEmulate(cmd); err != nil {
		return err
	}
	rg, err := loadDemoRegister(cmd.String("register"))
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	silenceHertz()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	sg, err := emul.NewStage(stageConfig(cmd, rg))
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	defer sg.Close()
	vms, err := planVMs(cmd)
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	for _, vm := range vms {
		sg.VMs().Set(wire.VM{Addr: vm.Inner, DataCentre: vm.DataCentre, Region: emulateRegion, State: wire.VMLive})
	}
	if err := writeFirstConfig(ctx, sg, cmd.Int("slots")); err != nil {
		return failure(cmd.FullName(), err)
	}
	if err := printStage(cmd, sg, vms); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func checkEmulate(cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	op := cmd.FullName()
	vms := cmd.Int("vms")
	if vms < 0 || vms > maxEmulatedVMs {
		return usageError(op, "--vms is 0 to %d, not %d", maxEmulatedVMs, vms)
	}
	for _, name := range []string{"services", "slots"} {
		if cmd.Int(name) < 1 {
			return usageError(op, "--%s is at least 1, not %d", name, cmd.Int(name))
		}
	}
	for _, name := range []string{"service-time", "lag"} {
		if cmd.Duration(name) < 0 {
			return usageError(op, "--%s must not be negative", name)
		}
	}
	port := cmd.Int("port")
	last := port + portFirstVM + vms*portsPerVM
	if port < 0 || last > maxPort {
		return usageError(op, "--port %d leaves no room for the ports up to %d", port, last)
	}
	return nil
}

func stageConfig(cmd *cli.Command, rg *emul.Register) emul.StageConfig {
	took := cmd.Duration("service-time")
	return emul.StageConfig{
		Port: cmd.Int("port"),
		Lag:  cmd.Duration("lag"),
		Fleet: emul.FleetConfig{
			Seed:        demoSeed,
			Register:    rg,
			Services:    cmd.Int("services"),
			DataCentres: emulateDataCentres(),
			Slots:       cmd.Int("slots"),
			Connections: demoConns,
			ReportsOnly: cmd.Bool("reports-only"),
			Service:     func(*rand.Rand) time.Duration { return took },
		},
	}
}

func emulateDataCentres() []string { return []string{"east", "west"} }

// plannedVM is a VM that is on the VM list and is to be started as a separate process.
type plannedVM struct {
	DataCentre string `json:"dataCentre"`
	Caller     string `json:"caller"`
	Operator   string `json:"operator"`
	Inner      string `json:"inner"`
	// Serve is the command line that starts the VM.
	Serve string `json:"serve"`
}

func planVMs(cmd *cli.Command) ([]plannedVM, error) {
	dcs := emulateDataCentres()
	vms := make([]plannedVM, cmd.Int("vms"))
	for i := range vms {
		addrs, err := addrsOfVM(cmd.Int("port"), i)
		if err != nil {
			return nil, err
		}
		vms[i] = plannedVM{DataCentre: dcs[i%len(dcs)], Caller: addrs[0], Operator: addrs[1], Inner: addrs[2]}
	}
	return vms, nil
}

// addrsOfVM returns the addresses of a VM's three listeners. If port is 0, it finds free ports by
// listening on all three at once, so that they differ, and closing them again. Another process may
// take such a port before the VM does; the VM then reports the conflict when it starts.
func addrsOfVM(port, vm int) ([]string, error) {
	addrs := make([]string, 3)
	for i := range addrs {
		if port != 0 {
			addrs[i] = fmt.Sprintf("127.0.0.1:%d", port+portFirstVM+vm*portsPerVM+i)
			continue
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addrs[i] = ln.Addr().String()
	}
	return addrs, nil
}

func (vm plannedVM) serveCommandLine(sg *emul.Stage) string {
	return fmt.Sprintf("laburnumvane serve --data-centre %s --region %s --kv %s --vm-list %s --caller-addr %s --operator-addr %s --inner-addr %s",
		vm.DataCentre, emulateRegion, sg.KV().Addr(), sg.VMs().Addr(), vm.Caller, vm.Operator, vm.Inner)
}
