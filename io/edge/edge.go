package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"laburnumvane/core/acct"
	"laburnumvane/core/gauge"
	"laburnumvane/core/mirror"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/poison"
	"laburnumvane/core/reach"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/core/warmup"
	"laburnumvane/io/entry"
	"laburnumvane/io/follow"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
	"laburnumvane/io/remote"
)

type routeTable = route.Table

const (
	// tickInterval is how often connections are maintained and expired state is removed.
	tickInterval = 250 * time.Millisecond
	// maxWarmWait limits how long readiness waits for warm connections. partlyWarmWait is the
	// limit if no more than one server in coldDivisor has none: in a partition some servers
	// stay unreachable, and the VM is needed all the more.
	maxWarmWait    = time.Second
	partlyWarmWait = 250 * time.Millisecond
	coldDivisor    = 3
	// dialWorkers limits the connections being opened at once. Opening one to an unreachable
	// server takes a second, and connections to healthy servers wait in the same queue: with
	// 256, requests to healthy servers in a test with 600 such attempts waited until their
	// deadline. 1,024 take some 10 MB during that second.
	dialWorkers = 1024
	// innerHeaderTimeout limits how long another VM may take to send its headers.
	innerHeaderTimeout = 2 * time.Second
	// maxInnerBodyBytes limits a request of another VM: a client's request with its largest body,
	// or the state that VMs exchange.
	maxInnerBodyBytes = 16 << 20
)

// Edge is one VM.
type Edge struct {
	cfg          Config
	set          Settings
	began        time.Time
	vmKey        string
	meter        *meter.Meter
	steer        *steer.Table
	pool         *relay.Pool
	workers      *workerPool
	entry        *entry.Entry
	follow       *follow.Follower
	registration *registration
	// registrar writes entries of VMs. leases holds the leases that the copy of the store
	// shows, by data centre.
	registrar  *registrar
	leases     atomic.Pointer[map[string]uint64]
	homeClient *remote.Client
	// gauge measures how busy this VM is.
	gauge *gauge.Gauge
	// warmUp limits the requests to servers that are warming up.
	warmUp *warmup.Limiter
	// poison holds the requests under which servers crashed; poisonWriter writes them to the
	// store for other VMs.
	poison       *poison.Table
	poisonWriter *poisonWriter
	checks       *server.Hertz
	metrics      *server.Hertz
	inner        *http.Server
	view         atomic.Pointer[plan.View]
	extra        atomic.Pointer[entry.ExtraAttempts]
	conns        atomic.Int64

	leaving atomic.Bool
	ready   atomic.Bool
	// knownSince is when routes and servers were first known.
	knownSince  time.Duration
	cutDetector *reach.Detector
	// cutOff is set while clients should use another VM.
	cutOff atomic.Bool
	// nextProbe is when VMs of other data centres may be probed again.
	nextProbe time.Duration
	// probesFailedAt is when probes of VMs in other data centres were last sent that all
	// failed.
	probesFailedAt atomic.Int64
	// nextSummary is when the next summary is due.
	nextSummary time.Duration

	changes chan follow.Change
	applied chan struct{}
	// controlEnded is closed when the control goroutine no longer receives changes.
	controlEnded chan struct{}
	// configured is closed once the first configuration is in force.
	configured chan struct{}
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
}

// Start opens the listeners and begins to follow the store.
func Start(cfg Config) (*Edge, error) {
	eg := &Edge{
		cfg:          cfg,
		set:          cfg.Settings,
		began:        time.Now(),
		meter:        meter.New(),
		steer:        steer.New(steer.Config{DataCentre: cfg.Settings.Self.DataCentre, Off: cfg.Settings.Off}),
		cutDetector:  reach.New(reach.Config{}),
		poison:       poison.New(),
		warmUp:       warmup.New(),
		changes:      make(chan follow.Change),
		applied:      make(chan struct{}),
		controlEnded: make(chan struct{}),
		configured:   make(chan struct{}),
	}
	eg.vmKey, _ = cfg.Decoder.VMEntry(eg.set.Name, eg.set.Self, eg.set.Capacity)
	eg.extra.Store(&eg.set.Extra)
	for _, name := range eg.set.Off.Names() {
		eg.meter.Count(meter.Off, name)
	}
	workers, err := newWorkerPool(dialWorkers)
	if err != nil {
		return nil, &Error{Op: "edge.Start", Kind: KindListen, Err: err}
	}
	eg.workers = workers
	eg.pool = eg.newPool()
	eg.leases.Store(&map[string]uint64{})
	eg.registrar = newRegistrar(eg)
	eg.poisonWriter = newPoisonWriter(eg)
	eg.follow = eg.newFollower()
	eg.gauge = gauge.New(gauge.Config{Cores: eg.set.Capacity})
	eg.homeClient = remote.New(remote.Config{
		Clock: eg.clock, DataCentre: eg.set.Self.DataCentre, Off: eg.set.Off,
		Count: func(event string) { eg.meter.Count(meter.Platform, event) },
		OnSilent: func(addr string, silent bool) {
			cfg.Log.Info().Str("vm", addr).Bool("silent", silent).Msg("forward target changed")
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	eg.cancel = cancel
	regCtx, endRegistration := context.WithCancel(ctx)
	eg.registration = newRegistration(eg, endRegistration)
	st := newState(eg)
	eg.view.Store(st.view)
	if err := eg.listen(); err != nil {
		cancel()
		return nil, err
	}
	eg.spawn(func() { eg.control(ctx, st) })
	eg.spawn(func() { eg.follow.Run(ctx) })
	eg.spawn(func() { eg.registration.run(regCtx) })
	eg.spawn(func() { eg.registrar.run(ctx) })
	eg.spawn(func() { eg.poisonWriter.run(ctx) })
	cfg.Log.Info().Str("vm", eg.set.Name).Str("dataCentre", eg.set.Self.DataCentre).
		Str("clients", eg.set.ClientAddr).Str("inner", eg.set.InnerAddr).
		Strs("off", eg.set.Off.Names()).Msg("started")
	return eg, nil
}

// listVMs lists the VMs that have an entry in the store. Unreadable entries are left out.
func (eg *Edge) listVMs(ctx context.Context) ([]mirror.Member, error) {
	up, err := eg.cfg.Store.Range(ctx, eg.cfg.Decoder.VMPrefix())
	if err != nil {
		return nil, err
	}
	var members []mirror.Member
	for _, ev := range up.Events {
		vm, capacity, ok, err := eg.cfg.Decoder.VM(ev.Key, ev.Value)
		if !ok || err != nil {
			eg.meter.Count(meter.Config, "unreadable")
			continue
		}
		members = append(members, mirror.Member{VM: vm, Capacity: capacity})
	}
	return members, nil
}

// newFollower creates the follower of the store.
func (eg *Edge) newFollower() *follow.Follower {
	return follow.New(follow.Config{
		Self:           eg.set.Self,
		Store:          eg.cfg.Store,
		Seeds:          eg.set.Seeds,
		FirstStart:     eg.set.FirstStart,
		Clock:          eg.clock,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnChange:       eg.applyChange,
		OnSourceChange: eg.logSource,
		OnBootFailed:   func() { eg.entry.RecordBootRefusal() },
		LinkMbps:       eg.set.LinkMbps,
		List:           eg.listVMs,
		Enlist:         eg.registrar.register,
		OnHint:         eg.receiveHint,
		Count:          func(event string) { eg.meter.Count(meter.Platform, event) },
	})
}

// newPool creates the pool of connections to servers.
func (eg *Edge) newPool() *relay.Pool {
	return relay.New(relay.Config{
		Clock:    eg.clock,
		HeaderID: eg.cfg.Names.RequestID,
		Dial:     eg.cfg.Dial,
		Go:       eg.workers.submit,
		Count:    func(event string) { eg.meter.Count(meter.Connection, event) },
		Dialled:  func(pr origin.Process, ok bool) { eg.steer.RecordConnect(eg.clock(), pr, ok) },
		Ended:    eg.serverEnded,
		Opened:   func() { eg.conns.Add(1) },
		Closed:   func() { eg.conns.Add(-1) },

		OldestFirst: eg.set.Off.Off(toggle.Newest),
	})
}

// clock returns the monotonic time since the start.
func (eg *Edge) clock() time.Duration { return time.Since(eg.began) }

func (eg *Edge) spawn(run func()) {
	eg.tasks.Add(1)
	go func() {
		defer eg.tasks.Done()
		run()
	}()
}

// logSource logs the source from which this VM receives changes.
func (eg *Edge) logSource(to mirror.Step, age time.Duration, err error) {
	en := eg.cfg.Log.Info()
	if err != nil {
		en = eg.cfg.Log.Warn().Err(err)
	}
	en = en.Str("from", to.From.String()).Str("peer", to.Addr).Int64("ageMs", age.Milliseconds())
	if err != nil {
		en.Msg("source lost")
		return
	}
	en.Msg("source")
}

// applyChange hands a change to the control goroutine and waits until it is applied, because
// the follower's next source may depend on it.
func (eg *Edge) applyChange(ch follow.Change) {
	select {
	case eg.changes <- ch:
		<-eg.applied
	case <-eg.controlEnded:
	}
}

// control is the loop of the goroutine that owns the state.
func (eg *Edge) control(ctx context.Context, st *state) {
	tk := time.NewTicker(tickInterval)
	defer tk.Stop()
	cutCheck := time.NewTicker(cutCheckInterval)
	defer cutCheck.Stop()
	defer close(eg.controlEnded)
	for {
		select {
		case ch := <-eg.changes:
			st.applyChange(ch)
			eg.applied <- struct{}{}
		case <-tk.C:
			eg.gauge.Observe(eg.clock(), processorTime())
			st.tick()
			st.checkSilent(ctx)
			eg.pool.Tick()
			eg.meter.Set(meter.Connections, eg.conns.Load())
			eg.meter.Set(meter.InFlight, int64(eg.entry.InFlight()))
			eg.logSummary()
		case <-cutCheck.C:
			st.observeStore(eg.clock())
		case <-ctx.Done():
			return
		}
		eg.updateReady()
		eg.updateCutOff(ctx)
	}
}

// updateReady decides whether the balancer may begin to send clients.
func (eg *Edge) updateReady() {
	vw := eg.view.Load()
	if eg.ready.Load() || vw.Routes() == nil || vw.Upstreams().Len() == 0 {
		return
	}
	now := eg.clock()
	if eg.knownSince == 0 {
		eg.knownSince = now
	}
	cold, waited := eg.pool.ColdServers(), now-eg.knownSince
	silence := min(eg.follow.RemoteSilence(), now-eg.entry.Stats().RemoteAnsweredAt)
	if !eg.set.Off.Off(toggle.Cuts) && !reach.MayEnterRotation(eg.follow.CutReported(), silence, now, waited) {
		return
	}
	partlyWarm := cold*coldDivisor <= vw.Upstreams().Len() && waited >= partlyWarmWait
	if cold > 0 && !partlyWarm && waited < maxWarmWait {
		return
	}
	eg.ready.Store(true)
	eg.cfg.Log.Info().Uint64("version", vw.Routes().Version()).Int("servers", vw.Upstreams().Len()).
		Int("cold", cold).Msg("ready")
}

func (st *state) limits(up *upstream) relay.Limits {
	li := st.view.Limits(up)
	if !up.Accepting() {
		// Connections in use are closed after their requests.
		return relay.Limits{Max: li.Max, Halted: true}
	}
	return relay.Limits{Idle: li.Idle, Max: li.Max}
}

// setExtra sets this VM's part of the limits on extra attempts.
func (eg *Edge) setExtra(part float64) {
	ex := *eg.extra.Load()
	ex.Part = part
	eg.entry.SetExtra(ex)
}

// Reload applies those settings that may change while the VM runs: the limits on extra
// attempts.
func (eg *Edge) Reload(set Settings) {
	eg.extra.Store(&set.Extra)
	eg.setExtra(eg.view.Load().ExtraShare())
	eg.cfg.Log.Info().Float64("extraShare", set.Extra.Share).Int("extraBurst", set.Extra.Burst).Msg("settings reloaded")
}

// keyPolicy returns how long keys of client accounts are accepted without updates.
func (eg *Edge) keyPolicy() acct.Policy {
	po := acct.Policy{StaleAfter: mirror.StaleAfter, Strict: eg.set.StrictRevocation, RevokeAfter: eg.set.RevokeAfter}
	if po.RevokeAfter <= 0 {
		po.RevokeAfter = mirror.StaleAfter
	}
	return po
}
