package node

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"

	"laburnumvane/core/pick"
	"laburnumvane/core/spread"
	"laburnumvane/core/ticket"
	"laburnumvane/core/view"
	"laburnumvane/io/drive"
	"laburnumvane/io/front"
	"laburnumvane/io/inner"
	"laburnumvane/io/logbuf"
	"laburnumvane/io/meter"
	"laburnumvane/io/oper"
	"laburnumvane/io/peer"
	"laburnumvane/io/plat"
	"laburnumvane/io/setup"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

const (
	platformTimeout      = 5 * time.Second
	peerTimeout          = time.Second
	readTimeout          = 10 * time.Second
	operatorMaxBodyBytes = 1 << 20
	eventQueueLen        = 1024
	secretBytes          = 32
)

// Config configures a VM.
type Config struct {
	Settings setup.Settings
	Log      *log.Logger
	// Version is shown in the status.
	Version string
	// Unlimited turns off the limits on searches. It is for measurements only.
	Unlimited bool
}

// Node is a running VM.
type Node struct {
	cfg       Config
	set       setup.Settings
	addr      string
	log       *log.Logger
	logQueue  *logbuf.Queue
	meter     *meter.Meter
	view      atomic.Pointer[view.View]
	pools     atomic.Pointer[[]*upst.Server]
	upstreams atomic.Pointer[[]*upstream]
	table     *pick.Table
	workers   *ants.Pool
	driver    *drive.Driver
	buckets   sync.Map // *share.Bucket by team name
	kv        *plat.Client
	vms       *plat.Client
	peers     *peer.Client
	inner     *peer.Server
	front     *front.Front
	oper      *oper.Oper
	events    chan event
	// controlEnded is closed when the control goroutine has ended.
	controlEnded chan struct{}
	leaving      atomic.Bool
	stopping     context.Context
	stop         context.CancelFunc
	running      sync.WaitGroup
	listeners    listeners
	started      time.Time
	requests     atomic.Uint64
	// complete counts complete searches. Only a sample of them is logged.
	complete      atomic.Uint64
	digest        atomic.Pointer[spread.Digest]
	callerService *callerService
	// recovering is set after the process was paused, until it has rejoined the other VMs.
	recovering atomic.Bool
	stopOnce   sync.Once
	stopErr    error
}

type listeners struct {
	caller, operator, inner net.Listener
}

// Addrs holds the addresses that a VM listens on, as host:port.
type Addrs struct {
	Caller, Operator, Inner string
}

// Start starts a VM, which serves as soon as Start returns.
func Start(cfg Config) (*Node, error) {
	if err := wire.CompileDecoder(); err != nil {
		return nil, errors.Wrap(err, "node.Start")
	}
	lns, err := listen(cfg.Settings)
	if err != nil {
		return nil, err
	}
	nd := &Node{
		cfg:          cfg,
		set:          cfg.Settings,
		meter:        meter.New(),
		table:        pick.New(pick.Config{DataCentre: cfg.Settings.DataCentre}),
		events:       make(chan event, eventQueueLen),
		controlEnded: make(chan struct{}),
		listeners:    lns,
		started:      time.Now(),
	}
	nd.initLog(cfg.Log)
	nd.addr = cfg.Settings.AdvertiseAddr
	if nd.addr == "" {
		nd.addr = lns.inner.Addr().String()
	}
	nd.view.Store(&view.View{})
	nd.pools.Store(&[]*upst.Server{})
	nd.upstreams.Store(&[]*upstream{})
	nd.stopping, nd.stop = context.WithCancel(context.Background())
	if err := nd.build(); err != nil {
		nd.stop()
		nd.logQueue.Close()
		return nil, err
	}
	nd.serve()
	return nd, nil
}

func listen(set setup.Settings) (listeners, error) {
	var lns listeners
	for _, one := range []struct {
		addr string
		ln   *net.Listener
	}{
		{set.CallerAddr, &lns.caller},
		{set.OperatorAddr, &lns.operator},
		{set.InnerAddr, &lns.inner},
	} {
		ln, err := net.Listen("tcp", one.addr)
		if err != nil {
			lns.close()
			return listeners{}, errors.Wrap(err, "node.Start")
		}
		*one.ln = ln
	}
	return lns, nil
}

func (lns listeners) close() {
	for _, ln := range []net.Listener{lns.caller, lns.operator, lns.inner} {
		if ln != nil {
			// No connection was accepted yet, so an error does no harm.
			_ = ln.Close()
		}
	}
}

func (nd *Node) build() error {
	workers, err := ants.NewPool(nd.set.Workers, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "node.Start")
	}
	secret, err := ticketSecret(nd.set.TicketKey)
	if err != nil {
		return errors.Wrap(err, "node.Start")
	}
	nd.workers = workers
	nd.kv = plat.New(plat.Config{Addrs: nd.set.KV, Timeout: kvTimeout})
	nd.vms = plat.New(plat.Config{Addrs: []string{nd.set.VMList}, Timeout: platformTimeout})
	nd.peers = peer.NewClient(peer.ClientConfig{Self: nd.self(), Timeout: peerTimeout})
	nd.driver = drive.New(drive.Config{
		View:     nd.view.Load,
		Upstream: func(id view.ServerID) drive.Upstream { return nd.upstream(id) },
		Table:    nd.table,
		Workers:  workers,
		Forward:  nd.peers,
		Observe:  nd,
		Bucket:   nd.bucket,
		Meter:    nd.meter,
		Tickets: ticket.Config{
			Addr:        nd.addr,
			Incarnation: nd.set.Incarnation,
			Secret:      secret,
			Shared:      nd.set.TicketKey != "",
			TTL:         nd.set.TicketTTL,
			Cap:         nd.set.TicketCap,
		},
		Incarnation: nd.set.Incarnation,
		MaxDeadline: nd.set.MaxDeadline,
		Unlimited:   nd.cfg.Unlimited,
		Seed:        nd.set.Incarnation,
	})
	nd.callerService = &callerService{nd: nd, driver: nd.driver}
	nd.inner = peer.NewServer(peer.ServerConfig{Listener: nd.listeners.inner, Service: &peerService{nd: nd}})
	nd.front = front.New(front.Config{
		Listener:    nd.listeners.caller,
		Search:      nd.callerService,
		Leaving:     nd.failsHealth,
		MaxBody:     nd.set.MaxBodyBytes,
		ReadTimeout: readTimeout,
		MaxDeadline: nd.set.MaxDeadline,
		TicketTTL:   nd.set.TicketTTL,
		NewID:       nd.newRequestID,
		Refused:     func(reason string) { nd.meter.Count(meter.Refusal, reason) },
		Panicked:    nd.logPanic,
		Log:         nd.logSearch,
	})
	nd.oper = oper.New(oper.Config{
		Listener:    nd.listeners.operator,
		Operator:    nd,
		Token:       nd.set.OperatorToken,
		TeamTokens:  nd.set.TeamTokens,
		MaxBody:     operatorMaxBodyBytes,
		ReadTimeout: readTimeout,
		Refused:     func(reason string) { nd.meter.Count(meter.Operator, reason) },
		Panicked:    nd.logPanic,
	})
	return nil
}

func (nd *Node) serve() {
	ct := newControl(nd)
	nd.run("control", func() error { ct.loop(nd.stopping); return nil })
	nd.run("inner", nd.inner.Serve)
	nd.run("front", nd.front.Serve)
	nd.run("oper", nd.oper.Serve)
	nd.run("vms", func() error { nd.pollVMs(nd.stopping); return nil })
	nd.run("connections", func() error { nd.keepConnections(nd.stopping); return nil })
}

func (nd *Node) run(name string, f func() error) {
	nd.running.Add(1)
	go func() {
		defer nd.running.Done()
		if err := f(); err != nil {
			nd.log.Error().Str("part", name).Err(err).Msg("VM component stopped with an error")
		}
	}()
}

func (nd *Node) self() *inner.VM {
	return &inner.VM{
		Addr:        nd.addr,
		DataCentre:  nd.set.DataCentre,
		Incarnation: nd.set.Incarnation,
		Region:      nd.set.Region,
	}
}

// Addrs returns the addresses that the VM listens on.
func (nd *Node) Addrs() Addrs {
	return Addrs{
		Caller:   nd.listeners.caller.Addr().String(),
		Operator: nd.listeners.operator.Addr().String(),
		Inner:    nd.listeners.inner.Addr().String(),
	}
}

// failsHealth reports whether the health check fails, so that the balancer sends no requests:
// this VM is leaving, or its process was paused and may have an old configuration.
func (nd *Node) failsHealth() bool {
	return nd.Leaving() || nd.recovering.Load()
}

// Leaving reports whether a planned stop has begun.
func (nd *Node) Leaving() bool {
	return nd.leaving.Load()
}

// ticketSecret returns the key shared by all VMs or, if none is set, a random one that is lost
// when the process ends.
func ticketSecret(key string) ([]byte, error) {
	if key != "" {
		return []byte(key), nil
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, err
	}
	return secret, nil
}
