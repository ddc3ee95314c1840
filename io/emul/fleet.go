package emul

import (
	"fmt"
	"sync"
	"time"

	"laburnumvane/io/wire"
)

// DefaultReplicas is the number of servers of each service.
const DefaultReplicas = 3

// FleetConfig configures a Fleet. Register, Services and DataCentres are
// needed; the rest is as in UpstreamConfig.
type FleetConfig struct {
	Clock       Clock
	Seed        uint64
	Register    *Register
	Services    int
	Replicas    int
	DataCentres []string
	Slots       int
	Queue       int
	Connections int
	Setup       time.Duration
	Service     ServiceTime
	Keep        int
	ReportsOnly bool
	// Prefix starts the names of the services; empty means the register's name.
	Prefix string
	// Port is the first server's on loopback, the others' follow; 0 takes free
	// ones.
	Port int
}

// Server is one upstream of a fleet.
type Server struct {
	Addr       string
	DataCentre string
	Service    string
	Upstream   *Upstream

	service int
}

// Fleet runs all upstreams of one register. Service i holds the shards whose
// number is i modulo the number of services; its replicas take turns through
// the data centres.
type Fleet struct {
	cfg     FleetConfig
	servers []Server

	mu      sync.Mutex
	current *Snapshot
}

// NewFleet starts the servers and publishes a first snapshot with one shard for
// each service.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	const op = "NewFleet"
	if cfg.Register == nil || cfg.Services < 1 || len(cfg.DataCentres) == 0 {
		return nil, errorf(op, KindConfig, "needs a register, services and data centres")
	}
	cfg.Replicas = orDefault(cfg.Replicas, DefaultReplicas)
	if cfg.Prefix == "" {
		cfg.Prefix = cfg.Register.Name
	}
	fl := &Fleet{cfg: cfg}
	for i := range cfg.Services * cfg.Replicas {
		if err := fl.startServer(i/cfg.Replicas, i%cfg.Replicas); err != nil {
			fl.Close()
			return nil, err
		}
	}
	if _, err := fl.Publish(cfg.Services); err != nil {
		fl.Close()
		return nil, err
	}
	return fl, nil
}

func (fl *Fleet) startServer(service, replica int) error {
	cfg := fl.cfg
	up := NewUpstream(UpstreamConfig{
		Clock:       cfg.Clock,
		Seed:        cfg.Seed + uint64(service*cfg.Replicas+replica),
		Slots:       cfg.Slots,
		Queue:       cfg.Queue,
		Connections: cfg.Connections,
		Setup:       cfg.Setup,
		Service:     cfg.Service,
		Keep:        cfg.Keep,
		ReportsOnly: cfg.ReportsOnly,
		Addr:        loopback(cfg.Port, service*cfg.Replicas+replica),
	})
	if err := up.Start(); err != nil {
		return err
	}
	fl.servers = append(fl.servers, Server{
		Addr:       up.Addr(),
		DataCentre: cfg.DataCentres[(service+replica)%len(cfg.DataCentres)],
		Service:    fmt.Sprintf("%s-%d", cfg.Prefix, service),
		Upstream:   up,
		service:    service,
	})
	return nil
}

// Close ends all servers.
func (fl *Fleet) Close() {
	for _, sv := range fl.servers {
		sv.Upstream.Close()
	}
}

// Servers lists the servers by service and replica.
func (fl *Fleet) Servers() []Server {
	return append([]Server(nil), fl.servers...)
}

// Replicas lists the servers that hold a shard of the current snapshot.
func (fl *Fleet) Replicas(shard int) []Server {
	first := shard % fl.cfg.Services * fl.cfg.Replicas
	return append([]Server(nil), fl.servers[first:first+fl.cfg.Replicas]...)
}

// Current is the snapshot published last.
func (fl *Fleet) Current() *Snapshot {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.current
}

// Publish takes a new snapshot with so many shards and gives it to all servers,
// one after the other; each keeps the one before as well.
func (fl *Fleet) Publish(shards int) (*Snapshot, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	sn, err := fl.cfg.Register.Snapshot(shards)
	if err != nil {
		return nil, err
	}
	for _, sv := range fl.servers {
		sv.Upstream.Hold(sn, fl.shardsOf(sv.service, shards))
	}
	fl.current = sn
	return sn, nil
}

func (fl *Fleet) shardsOf(service, shards int) []int {
	held := []int{}
	for sh := service; sh < shards; sh += fl.cfg.Services {
		held = append(held, sh)
	}
	return held
}

// RunsOf counts, for each shard, the runs with this query text on all servers.
func (fl *Fleet) RunsOf(query string) map[int]int {
	runs := map[int]int{}
	for _, sv := range fl.servers {
		for _, rn := range sv.Upstream.runsOf(query) {
			runs[rn.Shard]++
		}
	}
	return runs
}

// Runs is the number of sub-requests ever run by all servers.
func (fl *Fleet) Runs() uint64 {
	sum := uint64(0)
	for _, sv := range fl.servers {
		sum += sv.Upstream.Runs()
	}
	return sum
}

// Refused is how often all servers gave a refusal.
func (fl *Fleet) Refused(rf wire.Refusal) uint64 {
	sum := uint64(0)
	for _, sv := range fl.servers {
		sum += sv.Upstream.Refused(rf)
	}
	return sum
}
