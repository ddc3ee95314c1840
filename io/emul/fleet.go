package emul

import (
	"fmt"
	"sync"
	"time"

	"laburnumvane/io/wire"
)

// DefaultReplicas is the default number of servers of each service.
const DefaultReplicas = 3

// FleetConfig configures a Fleet. Register, Services and DataCentres are required; fields
// without a comment are those of UpstreamConfig.
type FleetConfig struct {
	Clock         Clock
	Seed          uint64
	Register      *Register
	Services      int
	Replicas      int
	DataCentres   []string
	Slots         int
	Queue         int
	Connections   int
	ConnSetupTime time.Duration
	Service       ServiceTime
	MaxSnapshots  int
	ReportsOnly   bool
	// Prefix is the prefix of the service names; empty means the register's name.
	Prefix string
	// Port is the loopback port of the first server; the others use the next ports. 0
	// means free ports.
	Port int
}

// Server is one upstream server of a fleet.
type Server struct {
	Addr       string
	DataCentre string
	Service    string
	Upstream   *Upstream

	serviceIndex int
}

// Fleet runs all upstreams of one register. Service i holds the shards whose number is i modulo
// the number of services; its replicas are assigned to the data centres round-robin.
type Fleet struct {
	cfg     FleetConfig
	servers []Server

	mu      sync.Mutex
	current *Snapshot
}

// NewFleet starts the servers and publishes a first snapshot with one shard per service.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	const op = "NewFleet"
	if cfg.Register == nil || cfg.Services < 1 || len(cfg.DataCentres) == 0 {
		return nil, errorf(op, KindConfig, "register, services and data centres are required")
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
		Clock:         cfg.Clock,
		Seed:          cfg.Seed + uint64(service*cfg.Replicas+replica),
		Slots:         cfg.Slots,
		Queue:         cfg.Queue,
		Connections:   cfg.Connections,
		ConnSetupTime: cfg.ConnSetupTime,
		Service:       cfg.Service,
		MaxSnapshots:  cfg.MaxSnapshots,
		ReportsOnly:   cfg.ReportsOnly,
		Addr:          loopback(cfg.Port, service*cfg.Replicas+replica),
	})
	if err := up.Start(); err != nil {
		return err
	}
	fl.servers = append(fl.servers, Server{
		Addr:         up.Addr(),
		DataCentre:   cfg.DataCentres[(service+replica)%len(cfg.DataCentres)],
		Service:      fmt.Sprintf("%s-%d", cfg.Prefix, service),
		Upstream:     up,
		serviceIndex: service,
	})
	return nil
}

// Close stops all servers.
func (fl *Fleet) Close() {
	for _, sv := range fl.servers {
		sv.Upstream.Close()
	}
}

// Servers returns the servers, ordered by service and replica.
func (fl *Fleet) Servers() []Server {
	return append([]Server(nil), fl.servers...)
}

// Replicas returns the servers that hold a shard of the current snapshot.
func (fl *Fleet) Replicas(shard int) []Server {
	first := shard % fl.cfg.Services * fl.cfg.Replicas
	return append([]Server(nil), fl.servers[first:first+fl.cfg.Replicas]...)
}

// Current returns the snapshot published last.
func (fl *Fleet) Current() *Snapshot {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.current
}

// Publish takes a new snapshot with the given number of shards and adds it to all servers, one
// after the other. Each server also keeps earlier snapshots, up to MaxSnapshots in all.
func (fl *Fleet) Publish(shards int) (*Snapshot, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	sn, err := fl.cfg.Register.Snapshot(shards)
	if err != nil {
		return nil, err
	}
	for _, sv := range fl.servers {
		sv.Upstream.Hold(sn, fl.shardsOf(sv.serviceIndex, shards))
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

// RunsOf returns, by shard, the number of runs with this query text on all servers.
func (fl *Fleet) RunsOf(query string) map[int]int {
	runs := map[int]int{}
	for _, sv := range fl.servers {
		for _, rn := range sv.Upstream.runsOf(query) {
			runs[rn.Shard]++
		}
	}
	return runs
}

// Runs returns the number of sub-requests run by all servers so far.
func (fl *Fleet) Runs() uint64 {
	sum := uint64(0)
	for _, sv := range fl.servers {
		sum += sv.Upstream.Runs()
	}
	return sum
}

// Refused returns how often all servers together gave a refusal.
func (fl *Fleet) Refused(rf wire.Refusal) uint64 {
	sum := uint64(0)
	for _, sv := range fl.servers {
		sum += sv.Upstream.Refused(rf)
	}
	return sum
}
