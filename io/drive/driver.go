package drive

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"laburnumvane/core/budget"
	"laburnumvane/core/hedge"
	"laburnumvane/core/pick"
	"laburnumvane/core/search"
	"laburnumvane/core/share"
	"laburnumvane/core/team"
	"laburnumvane/core/ticket"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// Upstream sends sub-requests to one server.
type Upstream interface {
	Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error)
	// SearchOnce is like Search for a sub-request that must not be repeated. It avoids
	// connections on which the request could be lost after it was sent.
	SearchOnce(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error)
	// Cancel abandons a sub-request by its id, without waiting.
	Cancel(id string)
}

// Forwarder runs a search on the VM that issued its ticket.
type Forwarder interface {
	Run(ctx context.Context, to ticket.Issuer, rq wire.SearchRequest) (wire.SearchAnswer, error)
}

// Observer receives the result of each exchange with a server.
type Observer interface {
	ObserveReply(id view.ServerID, load wire.UpstreamLoad, refusal wire.Refusal)
	ObserveFailure(id view.ServerID, kind string)
}

// Config configures a Driver. All fields but Bucket are required.
type Config struct {
	View     func() *view.View
	Upstream func(view.ServerID) Upstream
	Table    *pick.Table
	Workers  *ants.Pool
	Forward  Forwarder
	Observe  Observer
	Meter    *meter.Meter
	Tickets  ticket.Config
	// Incarnation makes the ids of sub-requests unique across restarts.
	Incarnation uint64
	// MaxDeadline bounds the deadline that a caller may set.
	MaxDeadline time.Duration
	// Bucket returns the bucket that enforces a team's limits. If Bucket is nil or returns
	// nil, there is no limit.
	Bucket func(team string) *share.Bucket
	// Unlimited admits every search at once, with no limit but the deadline. It is the
	// baseline of measurements and not for production.
	Unlimited bool
	// Seed seeds the choice of replicas.
	Seed uint64
}

// Driver runs searches.
type Driver struct {
	cfg        Config
	started    time.Time
	lastNumber atomic.Uint64
	active     sync.WaitGroup
	inFlight   atomic.Int64
	kinds      sync.Map
	tickets    *ticketTable
	counts     counts
	// admission decides which searches may start.
	admission *admission
	// idPrefix is the prefix of the ids of all sub-requests of this process.
	idPrefix string
}

// New returns a driver, which is ready at once.
func New(cfg Config) *Driver {
	dr := &Driver{cfg: cfg, started: time.Now()}
	dr.tickets = newTicketTable(cfg.Tickets)
	dr.counts = newCounts(cfg.Meter)
	dr.admission = newAdmission(dr)
	dr.idPrefix = strconv.FormatUint(cfg.Incarnation, 36) + "."
	return dr
}

// InFlight returns the number of searches in flight, including queued ones.
func (dr *Driver) InFlight() int {
	return int(dr.inFlight.Load())
}

// Wait returns when no search and no sub-request is in flight.
func (dr *Driver) Wait() {
	dr.active.Wait()
}

// now returns the monotonic time since the driver's start.
func (dr *Driver) now() time.Duration {
	return time.Since(dr.started)
}

// searchKind is the state shared by all runs of one configured search.
type searchKind struct {
	conf    team.Search
	tracker *hedge.Tracker
	hedges  *budget.Budget
	retries *budget.Budget
}

type kindKey struct {
	team, search string
}

const (
	hedgeBurst = 20
	retryBurst = 50
	// The bursts for searches over many shards, in searches.
	hedgeRounds = 2
	retryRounds = 5
)

func (dr *Driver) kindOf(key kindKey, conf team.Search) *searchKind {
	if got, ok := dr.kinds.Load(key); ok && got.(*searchKind).conf == conf {
		return got.(*searchKind)
	}
	kd := &searchKind{
		conf: conf,
		tracker: hedge.New(hedge.Config{
			Quantile: conf.Hedge.Quantile,
			Floor:    time.Duration(conf.Hedge.MinDelayMs) * time.Millisecond,
			Ceiling:  conf.HardDeadline() / 2,
		}),
		hedges:  budget.New(budget.Config{Share: conf.Hedge.Budget, Burst: hedgeBurst, BurstPerPrimary: hedgeRounds}),
		retries: budget.New(budget.Config{Share: conf.Retry.Budget, Burst: retryBurst, BurstPerPrimary: retryRounds}),
	}
	dr.kinds.Store(key, kd)
	return kd
}

func (dr *Driver) random(number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(dr.cfg.Seed, number))
}

// chooser returns the chooser of one search's servers.
func (dr *Driver) chooser(now time.Duration, vw *view.View, number uint64, once bool) search.Chooser {
	ch := dr.cfg.Table.Chooser(now, vw, dr.random(number))
	if once {
		ch = ch.WithoutProbes()
	}
	return capacityChooser{inner: ch, ad: dr.admission, unlimited: dr.cfg.Unlimited}
}
