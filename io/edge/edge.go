package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"laburnumvane/core/feed"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/poison"
	"laburnumvane/core/ramp"
	"laburnumvane/core/reach"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/carry"
	"laburnumvane/io/entry"
	"laburnumvane/io/follow"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
)

type routeTable = route.Table

const (
	// tickEvery is how often connections and what lapses are looked after.
	tickEvery = 250 * time.Millisecond
	// warmTime is how long readiness waits for warm connections at most, and
	// mostlyTime how long if no more than one server in mostlyShare is without:
	// in a partition some stay so, and the VM is needed all the more.
	warmTime    = time.Second
	mostlyTime  = 250 * time.Millisecond
	mostlyShare = 3
	// dialWorkers bounds the connections being opened at once. An opening to a
	// server out of reach takes a second, and those of sound servers wait for a
	// turn with it: with 256 a test with 600 such openings saw requests to sound
	// servers wait until their deadline. 1,024 take some 10 MB, for that second.
	dialWorkers = 1024
	// innerHeaderTime bounds how long another VM takes to send its headers.
	innerHeaderTime = 2 * time.Second
)

// Edge is one VM.
type Edge struct {
	cfg     Config
	set     Settings
	began   time.Time
	key     string
	meter   *meter.Meter
	steer   *steer.Table
	pool    *relay.Pool
	workers *crew
	entry   *entry.Entry
	follow  *follow.Follower
	listing *listing
	// registrar writes entries, and leases are those that the copy of the store shows,
	// by data centre.
	registrar *registrar
	leases    atomic.Pointer[map[string]uint64]
	homes     *carry.Client
	// ramp counts what goes to servers that warm up.
	ramp *ramp.Gate
	// poison holds the requests under which servers ended, and sharer tells other VMs.
	poison  *poison.Table
	sharer  *sharer
	checks  *server.Hertz
	metrics *server.Hertz
	inner   *http.Server
	view    atomic.Pointer[plan.View]
	extra   atomic.Pointer[entry.Extra]
	conns   atomic.Int64

	leaving atomic.Bool
	ready   atomic.Bool
	// knownSince is when routes and servers were both known first.
	knownSince time.Duration
	cut        *reach.Judge
	// isolated is set while clients are better off with another VM.
	isolated atomic.Bool
	// probeAt is when other data centres may be asked for a sign of life again.
	probeAt time.Duration
	// muteSince is when VMs of other data centres were asked last for a sign of life
	// that none of them gave.
	muteSince atomic.Int64
	// summaryAt is when the next summary is due.
	summaryAt time.Duration

	changes chan follow.Change
	taken   chan struct{}
	// ended is closed when nobody takes changes any more.
	ended  chan struct{}
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start opens the listeners and begins to follow the store.
func Start(cfg Config) (*Edge, error) {
	eg := &Edge{
		cfg:     cfg,
		set:     cfg.Settings,
		began:   time.Now(),
		meter:   meter.New(),
		steer:   steer.New(steer.Config{DataCentre: cfg.Settings.Self.DataCentre, Off: cfg.Settings.Off}),
		cut:     reach.New(reach.Config{}),
		poison:  poison.New(),
		ramp:    ramp.New(),
		changes: make(chan follow.Change),
		taken:   make(chan struct{}),
		ended:   make(chan struct{}),
	}
	eg.key, _ = cfg.Decoder.VMEntry(eg.set.Name, eg.set.Self, eg.set.Capacity)
	eg.extra.Store(&eg.set.Extra)
	for _, name := range eg.set.Off.Names() {
		eg.meter.Count(meter.Off, name)
	}
	workers, err := newCrew(dialWorkers)
	if err != nil {
		return nil, &Error{Op: "edge.Start", Kind: KindListen, Err: err}
	}
	eg.workers = workers
	eg.pool = eg.newPool()
	eg.leases.Store(&map[string]uint64{})
	eg.registrar = newRegistrar(eg)
	eg.sharer = newSharer(eg)
	eg.follow = eg.newFollower()
	eg.homes = carry.New(carry.Config{Clock: eg.clock, DataCentre: eg.set.Self.DataCentre})
	ctx, cancel := context.WithCancel(context.Background())
	eg.cancel = cancel
	listed, unlist := context.WithCancel(ctx)
	eg.listing = newListing(eg, unlist)
	st := newState(eg)
	eg.view.Store(st.view)
	if err := eg.listen(); err != nil {
		cancel()
		return nil, err
	}
	eg.task(func() { eg.control(ctx, st) })
	eg.task(func() { eg.follow.Run(ctx) })
	eg.task(func() { eg.listing.run(listed) })
	eg.task(func() { eg.registrar.run(ctx) })
	eg.task(func() { eg.sharer.run(ctx) })
	cfg.Log.Info().Str("vm", eg.set.Name).Str("dataCentre", eg.set.Self.DataCentre).
		Str("clients", eg.set.ClientAddr).Str("inner", eg.set.InnerAddr).
		Strs("off", eg.set.Off.Names()).Msg("started")
	return eg, nil
}

// listVMs asks the store which VMs there are. What cannot be read is no VM.
func (eg *Edge) listVMs(ctx context.Context) ([]feed.Member, error) {
	up, err := eg.cfg.Store.Range(ctx, eg.cfg.Decoder.VMPrefix())
	if err != nil {
		return nil, err
	}
	var members []feed.Member
	for _, ev := range up.Events {
		vm, capacity, ok, err := eg.cfg.Decoder.VM(ev.Key, ev.Value)
		if !ok || err != nil {
			eg.meter.Count(meter.Config, "unreadable")
			continue
		}
		members = append(members, feed.Member{VM: vm, Capacity: capacity})
	}
	return members, nil
}

// newFollower makes what follows the store.
func (eg *Edge) newFollower() *follow.Follower {
	return follow.New(follow.Config{
		Self:       eg.set.Self,
		Store:      eg.cfg.Store,
		Seeds:      eg.set.Seeds,
		FirstStart: eg.set.FirstStart,
		Clock:      eg.clock,
		Rand:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Changed:    eg.tell,
		Switched:   eg.switched,
		LinkMbps:   eg.set.LinkMbps,
		List:       eg.listVMs,
		Enlist:     eg.registrar.enter,
		Hinted:     eg.hinted,
		Count:      func(event string) { eg.meter.Count(meter.Platform, event) },
	})
}

// newPool makes the connections to servers.
func (eg *Edge) newPool() *relay.Pool {
	return relay.New(relay.Config{
		Clock:    eg.clock,
		HeaderID: eg.cfg.Names.RequestID,
		Dial:     eg.cfg.Dial,
		Go:       eg.workers.run,
		Count:    func(event string) { eg.meter.Count(meter.Connection, event) },
		Reached:  func(pr origin.Process, ok bool) { eg.steer.Reached(eg.clock(), pr, ok) },
		Ended:    eg.serverEnded,
		Opened:   func() { eg.conns.Add(1) },
		Closed:   func() { eg.conns.Add(-1) },

		OldestFirst: eg.set.Off.Off(toggle.Newest),
	})
}

// clock is the monotonic time since the start.
func (eg *Edge) clock() time.Duration { return time.Since(eg.began) }

func (eg *Edge) task(run func()) {
	eg.tasks.Add(1)
	go func() {
		defer eg.tasks.Done()
		run()
	}()
}

// switched logs from whom this VM hears of changes.
func (eg *Edge) switched(to feed.Step, age time.Duration, err error) {
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

// tell hands a change to the control goroutine and waits until it is in force:
// whom to ask next may follow from it.
func (eg *Edge) tell(ch follow.Change) {
	select {
	case eg.changes <- ch:
		<-eg.taken
	case <-eg.ended:
	}
}

// control owns what is known.
func (eg *Edge) control(ctx context.Context, st *state) {
	tk := time.NewTicker(tickEvery)
	defer tk.Stop()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	defer close(eg.ended)
	for {
		select {
		case ch := <-eg.changes:
			st.change(ch)
			eg.taken <- struct{}{}
		case <-tk.C:
			st.tick()
			st.judgeSilent(ctx)
			eg.pool.Tick()
			eg.meter.Set(meter.Connections, eg.conns.Load())
			eg.meter.Set(meter.InFlight, int64(eg.entry.InFlight()))
			eg.summary()
		case <-look.C:
			st.lookListed(eg.clock())
		case <-ctx.Done():
			return
		}
		eg.judgeReady()
		eg.judgeCut(ctx)
	}
}

// summaryEvery is how often the state of this VM is logged as a whole.
const summaryEvery = 10 * time.Second

// summary logs the counters that explain most complaints, for times at which
// nobody fetched the metrics.
func (eg *Edge) summary() {
	now := eg.clock()
	if now < eg.summaryAt {
		return
	}
	eg.summaryAt = now + summaryEvery
	count := func(family, reason string) int64 { return eg.meter.Value(family, reason) }
	eg.cfg.Log.Info().
		Int("inFlight", eg.entry.InFlight()).
		Int64("connections", eg.conns.Load()).
		Int64("opened", count(meter.Connection, "open")).
		Int64("openFailed", count(meter.Connection, "openFailed")).
		Int64("openReset", count(meter.Connection, "openReset")).
		Int64("cut", count(meter.Connection, "cut")).
		Int64("ended", count(meter.Connection, "ended")).
		Int64("closing", count(meter.Connection, "closing")).
		Int64("old", count(meter.Connection, "old")).
		Int64("spare", count(meter.Connection, "spare")).
		Int64("unasked", count(meter.Connection, "unasked")).
		Int64("stray", count(meter.Connection, "stray")).
		Int64("storeCalls", count(meter.Platform, "store")).
		Int64("peerCalls", count(meter.Platform, "peer")).
		Int64("ageMs", eg.follow.Age().Milliseconds()).
		Msg("summary")
}

// judgeReady decides whether the balancer may send clients.
func (eg *Edge) judgeReady() {
	vw := eg.view.Load()
	if eg.ready.Load() || vw.Routes() == nil || vw.Upstreams().Len() == 0 {
		return
	}
	now := eg.clock()
	if eg.knownSince == 0 {
		eg.knownSince = now
	}
	cold, waited := eg.pool.Cold(), now-eg.knownSince
	silence := min(eg.follow.Silence(), now-eg.entry.Traffic().FarHeard)
	if !eg.set.Off.Off(toggle.Cuts) && !reach.Enters(eg.follow.ToldCut(), silence, now, waited) {
		return
	}
	mostly := cold*mostlyShare <= vw.Upstreams().Len() && waited >= mostlyTime
	if cold > 0 && !mostly && waited < warmTime {
		return
	}
	eg.ready.Store(true)
	eg.cfg.Log.Info().Uint64("version", vw.Routes().Version()).Int("servers", vw.Upstreams().Len()).
		Int("cold", cold).Msg("ready")
}

func (st *state) limits(up *upstream) relay.Limits {
	li := st.view.Limits(up)
	if !up.Takes() {
		// Those in use end with their requests.
		return relay.Limits{Most: li.Most, Halted: true}
	}
	return relay.Limits{Warm: li.Warm, Most: li.Most}
}

// setExtra takes this VM's part of the bounds on extra attempts.
func (eg *Edge) setExtra(part float64) {
	ex := *eg.extra.Load()
	ex.Part = part
	eg.entry.SetExtra(ex)
}

// Reload takes settings that may change while the VM runs.
func (eg *Edge) Reload(set Settings) {
	eg.extra.Store(&set.Extra)
	eg.setExtra(eg.view.Load().ExtraPart())
	eg.cfg.Log.Info().Float64("extraShare", set.Extra.Share).Int("extraBurst", set.Extra.Burst).Msg("settings reloaded")
}

// listen opens all listeners.
func (eg *Edge) listen() error {
	clients, err := net.Listen("tcp", eg.set.ClientAddr)
	if err != nil {
		return &Error{Op: "edge.Start", Kind: KindListen, Err: err}
	}
	eg.entry = entry.New(entry.Config{
		Listener:   clients,
		DataCentre: eg.set.Self.DataCentre,
		Names:      eg.cfg.Names,
		Clock:      eg.clock,
		View:       eg.view.Load,
		Relay:      eg.pool,
		Steer:      eg.steer,
		Load:       eg.cfg.Decoder.Load,
		Ramp:       eg.ramp,
		Homes:      eg.homes,
		Poison:     eg.poison,
		Share:      eg.sharer.add,
		Hint:       eg.hint,
		Meter:      eg.meter,
		Log:        eg.cfg.Log,
		Off:        eg.set.Off,
	})
	innerLn, err := net.Listen("tcp", eg.set.InnerAddr)
	if err != nil {
		return &Error{Op: "edge.Start", Kind: KindListen, Err: err}
	}
	eg.inner = &http.Server{Handler: eg.innerHandler(), ReadHeaderTimeout: innerHeaderTime}
	checks, err := eg.listenChecks()
	if err != nil {
		return err
	}
	eg.checks = checks
	if eg.set.MetricsAddr != "" {
		if eg.metrics, err = eg.listenMetrics(); err != nil {
			return err
		}
	}
	eg.serve("clients", eg.entry.Serve)
	eg.serve("checks", eg.checks.Run)
	eg.serve("inner", func() error { return eg.inner.Serve(innerLn) })
	if eg.metrics != nil {
		eg.serve("metrics", eg.metrics.Run)
	}
	return nil
}

// innerHandler serves the protocols between VMs.
func (eg *Edge) innerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(inner.FeedPathPrefix, inner.NewFeedServer(eg.follow))
	mux.Handle(inner.HomePathPrefix, inner.NewHomeServer(eg.entry))
	return mux
}

// serve runs a listener; its end before the stop is a fault of this VM.
func (eg *Edge) serve(name string, run func() error) {
	go func() {
		if err := run(); err != nil && !eg.leaving.Load() {
			eg.cfg.Log.Error().Str("listener", name).Err(err).Msg("a listener ended")
		}
	}()
}
