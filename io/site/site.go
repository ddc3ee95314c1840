// Package site runs a whole installation in one process on loopback: emulators of
// the platform and the upstreams, and real entry VMs that use them. The demo
// command and end-to-end tests use it.
//
// # Usage
//
//	st, err := site.Start(site.Config{VMs: 3, DataCentres: []string{"east", "west"}, Services: 10, Register: rg, Log: logger})
//	defer st.Close()
//	st.Nodes()[0].Addrs().Caller
package site

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"laburnumvane/core/change"
	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/setup"
	"laburnumvane/io/wire"
)

// Config configures an installation.
type Config struct {
	// Team is the name of the only team.
	Team string
	// VMs is the number of VMs, which are placed in the data centres in turn.
	VMs         int
	DataCentres []string
	Region      string
	Register    *emul.Register
	// Services is the number of services that hold the shards; each has three servers.
	Services int
	Slots    int
	// Queue is the number of sub-requests that can wait at a server; 0 means the default.
	Queue       int
	Connections int
	// ConnectTime is the time that a new connection to an upstream takes.
	ConnectTime time.Duration
	ServiceTime emul.ServiceTime
	// Searches are the team's searches. Their Register field is set by Document.
	Searches map[string]team.Search
	Limits   team.Limits
	Log      *log.Logger
	// BalancerLag is the time for which a stopping VM keeps listening.
	BalancerLag time.Duration
	// TicketTTL is the time for which a ticket can be used; 0 means the default.
	TicketTTL time.Duration
	// StopGrace is the longest time of a planned stop; 0 means the default.
	StopGrace time.Duration
	// Unlimited turns off the VMs' limits, to measure their effect.
	Unlimited bool
	// CallerAddr is the address of the first VM's callers' listener; empty means a free port.
	CallerAddr string
}

// ticketKey signs the tickets of all VMs of a site.
const ticketKey = "one key for all VMs of a site"

// Site is a running installation.
type Site struct {
	cfg       Config
	kv        *emul.KV
	vms       *emul.VMs
	fleet     *emul.Fleet
	nodes     []*node.Node
	bootCount uint64
}

// Start starts platform, upstreams and VMs, and writes the team's configuration to the key-value
// service. After an error nothing is left running.
func Start(cfg Config) (*Site, error) {
	st := &Site{
		cfg: cfg,
		kv:  emul.NewKV(emul.KVConfig{}),
		vms: emul.NewVMs(emul.VMsConfig{}),
	}
	if err := st.start(); err != nil {
		st.Close()
		return nil, errors.Wrap(err, "site.Start")
	}
	return st, nil
}

func (st *Site) start() error {
	if err := st.kv.Start(); err != nil {
		return err
	}
	if err := st.vms.Start(); err != nil {
		return err
	}
	fleet, err := emul.NewFleet(emul.FleetConfig{
		Seed:          1,
		Register:      st.cfg.Register,
		Services:      st.cfg.Services,
		DataCentres:   st.cfg.DataCentres,
		Slots:         st.cfg.Slots,
		Queue:         st.cfg.Queue,
		Connections:   st.cfg.Connections,
		ConnSetupTime: st.cfg.ConnectTime,
		Service:       st.cfg.ServiceTime,
	})
	if err != nil {
		return err
	}
	st.fleet = fleet
	if err := st.writeConfig(); err != nil {
		return err
	}
	for i := range st.cfg.VMs {
		if _, err := st.StartVM(st.cfg.DataCentres[i%len(st.cfg.DataCentres)]); err != nil {
			return err
		}
	}
	return nil
}

// Document returns the team's first configuration.
func (st *Site) Document() team.Document {
	searches := make(map[string]team.Search, len(st.cfg.Searches))
	for name, se := range st.cfg.Searches {
		se.Register = st.cfg.Register.Name
		searches[name] = se
	}
	services := make(map[string]team.Service)
	for _, sv := range st.fleet.Servers() {
		sc := services[sv.Service]
		sc.SlotsPerServer = st.cfg.Slots
		sc.ConnectionsPerServer = st.cfg.Connections
		sc.Servers = append(sc.Servers, team.Server{Addr: sv.Addr, DataCentre: sv.DataCentre})
		services[sv.Service] = sc
	}
	return team.Document{
		Version:   team.FormatVersion,
		Team:      st.cfg.Team,
		Limits:    st.cfg.Limits,
		Searches:  searches,
		Registers: map[string]team.Register{st.cfg.Register.Name: {Services: services}},
	}
}

// writeConfig writes the first configuration to the key that also holds operators' changes.
func (st *Site) writeConfig() error {
	raw, err := json.Marshal(st.Document())
	if err != nil {
		return err
	}
	en := change.Envelope{}.WithChange(change.Entry{ID: "first", UnixMs: time.Now().UnixMilli(), Document: raw}, 0)
	value, err := en.Encode()
	if err != nil {
		return err
	}
	return st.writeKey(change.KeyOf(st.cfg.Team), value)
}

// Config returns the configuration that the site was started with.
func (st *Site) Config() Config { return st.cfg }

// StartVM starts another VM in a data centre and adds it to the VM list.
func (st *Site) StartVM(dataCentre string) (*node.Node, error) {
	return st.StartVMWith(st.cfg, dataCentre)
}

// StartVMWith is StartVM with a configuration other than the site's; only its settings of VMs are
// used.
func (st *Site) StartVMWith(cfg Config, dataCentre string) (*node.Node, error) {
	set := setup.Defaults()
	set.CallerAddr = "127.0.0.1:0"
	if st.bootCount == 0 && cfg.CallerAddr != "" {
		set.CallerAddr = cfg.CallerAddr
	}
	set.OperatorAddr = "127.0.0.1:0"
	set.InnerAddr = "127.0.0.1:0"
	set.DataCentre = dataCentre
	set.Region = cfg.Region
	set.KV = []string{st.kv.Addr()}
	set.VMList = st.vms.Addr()
	set.BalancerLag = cfg.BalancerLag
	set.TicketKey = ticketKey
	if cfg.TicketTTL > 0 {
		set.TicketTTL = cfg.TicketTTL
	}
	if cfg.StopGrace > 0 {
		set.StopGrace = cfg.StopGrace
	}
	st.bootCount++
	set = set.WithIncarnation(time.Now().Add(time.Duration(st.bootCount) * time.Microsecond))
	nd, err := node.Start(node.Config{Settings: set, Log: cfg.Log, Version: "site", Unlimited: cfg.Unlimited})
	if err != nil {
		return nil, err
	}
	st.nodes = append(st.nodes, nd)
	st.vms.Set(wire.VM{Addr: nd.Addrs().Inner, DataCentre: dataCentre, Region: cfg.Region, State: wire.VMLive})
	return nd, nil
}

// Kill ends a VM without a planned stop. The VM stays on the VM list.
func (st *Site) Kill(nd *node.Node) {
	nd.Kill()
	st.removeNode(nd)
}

// RemoveFromList removes a stopped VM from the VM list, as the platform does.
func (st *Site) RemoveFromList(nd *node.Node) {
	st.vms.Remove(nd.Addrs().Inner)
	st.removeNode(nd)
}

func (st *Site) removeNode(nd *node.Node) {
	st.nodes = slices.DeleteFunc(st.nodes, func(other *node.Node) bool { return other == nd })
}

// Nodes returns the VMs in the order in which they were started, without those given to Kill or
// RemoveFromList.
func (st *Site) Nodes() []*node.Node { return st.nodes }

// KV returns the emulated key-value service.
func (st *Site) KV() *emul.KV { return st.kv }

// VMs returns the emulated VM list.
func (st *Site) VMs() *emul.VMs { return st.vms }

// Fleet returns the emulated upstreams.
func (st *Site) Fleet() *emul.Fleet { return st.fleet }

// WaitReady returns when every VM has the configuration and a live server for every shard of the
// register. It returns an error if ctx ends first.
func (st *Site) WaitReady(ctx context.Context) error {
	for _, nd := range st.nodes {
		for !ready(nd) {
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return errors.Wrap(err, "site.WaitReady")
			}
		}
	}
	return nil
}

func ready(nd *node.Node) bool {
	registers := nd.Status().Registers
	return len(registers) > 0 && registers[0].Shards > 0 && registers[0].Live == registers[0].Shards
}

// Close stops the VMs and then the emulators.
func (st *Site) Close() {
	// No more tickets will be used, so the VMs do not wait until the last one has expired.
	ctx, cancel := context.WithTimeout(context.Background(), st.cfg.BalancerLag+closeGrace)
	defer cancel()
	done := make(chan struct{}, len(st.nodes))
	for _, nd := range st.nodes {
		go func() {
			// An error means that requests were cut off, which does not matter here.
			_ = nd.Stop(ctx)
			done <- struct{}{}
		}()
	}
	for range st.nodes {
		<-done
	}
	if st.fleet != nil {
		st.fleet.Close()
	}
	st.vms.Close()
	st.kv.Close()
}

// closeGrace is the time that Close gives requests in flight, beyond the balancer lag.
const closeGrace = 500 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
