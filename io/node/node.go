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
	"laburnumvane/io/lines"
	"laburnumvane/io/meter"
	"laburnumvane/io/oper"
	"laburnumvane/io/peer"
	"laburnumvane/io/plat"
	"laburnumvane/io/setup"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

const (
	platformTimeout = 5 * time.Second
	peerTimeout     = time.Second
	readTimeout     = 10 * time.Second
	operatorMaxBody = 1 << 20
	eventRoom       = 1024
	secretLen       = 32
)

// Config sets a VM.
type Config struct {
	Settings setup.Settings
	Log      *log.Logger
	// Version is shown in the status.
	Version string
	// Unlimited turns the limits on searches off, for measurements.
	Unlimited bool
}

// Node is a running VM.
type Node struct {
	cfg     Config
	set     setup.Settings
	addr    string
	log     *log.Logger
	lines   *lines.Queue
	meter   *meter.Meter
	view    atomic.Pointer[view.View]
	servers atomic.Pointer[[]*upst.Server]
	ups     atomic.Pointer[[]*upstream]
	table   *pick.Table
	workers *ants.Pool
	driver  *drive.Driver
	buckets sync.Map // team's name to *share.Bucket
	kv      *plat.Client
	vms     *plat.Client
	peers   *peer.Client
	inner   *peer.Server
	front   *front.Front
	oper    *oper.Oper
	events  chan event
	// controlEnded is closed when the control goroutine has ended.
	controlEnded chan struct{}
	leaving      atomic.Bool
	stopping     context.Context
	stop         context.CancelFunc
	running      sync.WaitGroup
	lns          listeners
	started      time.Time
	requests     atomic.Uint64
	// complete counts complete searches, of which a sample is logged.
	complete atomic.Uint64
	digest   atomic.Pointer[spread.Digest]
	desk     *desk
	// recovering is set while this VM, after a pause, has not caught up.
	recovering atomic.Bool
	stopOnce   sync.Once
	stopErr    error
}

type listeners struct {
	caller, operator, inner net.Listener
}

// Addrs are the addresses that the VM listens on.
type Addrs struct {
	Caller, Operator, Inner string
}

// Start starts a VM; it serves as soon as it returns.
func Start(cfg Config) (*Node, error) {
	if err := wire.Warm(); err != nil {
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
		events:       make(chan event, eventRoom),
		controlEnded: make(chan struct{}),
		lns:          lns,
		started:      time.Now(),
	}
	nd.queueLog(cfg.Log)
	nd.addr = cfg.Settings.AdvertiseAddr
	if nd.addr == "" {
		nd.addr = lns.inner.Addr().String()
	}
	nd.view.Store(&view.View{})
	nd.servers.Store(&[]*upst.Server{})
	nd.ups.Store(&[]*upstream{})
	nd.stopping, nd.stop = context.WithCancel(context.Background())
	if err := nd.build(); err != nil {
		nd.stop()
		nd.lines.Close()
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
			// Nothing was accepted yet; an error changes nothing.
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
	nd.kv = plat.New(plat.Config{Addrs: nd.set.KV, Timeout: configPatience})
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
	nd.desk = &desk{nd: nd, driver: nd.driver}
	nd.inner = peer.NewServer(peer.ServerConfig{Listener: nd.lns.inner, Service: &service{nd: nd}})
	nd.front = front.New(front.Config{
		Listener:    nd.lns.caller,
		Search:      nd.desk,
		Leaving:     nd.unfit,
		MaxBody:     nd.set.MaxBodyBytes,
		ReadTimeout: readTimeout,
		MaxDeadline: nd.set.MaxDeadline,
		TicketTTL:   nd.set.TicketTTL,
		NewID:       nd.newID,
		Refused:     func(reason string) { nd.meter.Count(meter.Refusal, reason) },
		Panicked:    nd.logPanic,
		Log:         nd.logSearch,
	})
	nd.oper = oper.New(oper.Config{
		Listener:    nd.lns.operator,
		Operator:    nd,
		Token:       nd.set.OperatorToken,
		TeamTokens:  nd.set.TeamTokens,
		MaxBody:     operatorMaxBody,
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
			nd.log.Error().Str("part", name).Err(err).Msg("part of the VM ended")
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

// Addrs are the addresses that the VM listens on.
func (nd *Node) Addrs() Addrs {
	return Addrs{
		Caller:   nd.lns.caller.Addr().String(),
		Operator: nd.lns.operator.Addr().String(),
		Inner:    nd.lns.inner.Addr().String(),
	}
}

// unfit tells whether the balancer shall send nothing: this VM is leaving, or it
// stood still and may hold an old configuration.
func (nd *Node) unfit() bool {
	return nd.Leaving() || nd.recovering.Load()
}

// Leaving tells whether a planned stop has begun.
func (nd *Node) Leaving() bool {
	return nd.leaving.Load()
}

// ticketSecret is the key shared by all VMs, or one that dies with the process.
func ticketSecret(key string) ([]byte, error) {
	if key != "" {
		return []byte(key), nil
	}
	secret := make([]byte, secretLen)
	if _, err := rand.Read(secret); err != nil {
		return nil, err
	}
	return secret, nil
}
