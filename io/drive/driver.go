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

// Upstream is what a driver asks of one server.
type Upstream interface {
	Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error)
	// SearchOnce is Search for what must not be repeated: it avoids whatever
	// could lose the request after it was sent.
	SearchOnce(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error)
	// Cancel gives up a sub-request; it does not wait.
	Cancel(id string)
}

// Forwarder runs a search on the VM that issued its ticket.
type Forwarder interface {
	Run(ctx context.Context, to ticket.Issuer, rq wire.SearchRequest) (wire.SearchAnswer, error)
}

// Observer is told what replies show about a server.
type Observer interface {
	Replied(id view.ServerID, load wire.UpstreamLoad, refusal wire.Refusal)
	Failed(id view.ServerID, kind string)
}

// Config sets a driver. All fields but Bucket are required.
type Config struct {
	View     func() *view.View
	Upstream func(view.ServerID) Upstream
	Table    *pick.Table
	Workers  *ants.Pool
	Forward  Forwarder
	Observe  Observer
	Meter    *meter.Meter
	Tickets  ticket.Config
	// Incarnation makes the ids of sub-requests unique over restarts.
	Incarnation uint64
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline time.Duration
	// Bucket returns the bucket that holds a team to its limits; nil, or one
	// that returns nil, means no limit.
	Bucket func(team string) *share.Bucket
	// Unlimited lets every search in at once, by no limit but the deadline. It
	// is the other side of a measurement, and for no VM that serves.
	Unlimited bool
	// Seed seeds the choice of replicas.
	Seed uint64
}

// Driver takes searches.
type Driver struct {
	cfg     Config
	start   time.Time
	numbers atomic.Uint64
	active  sync.WaitGroup
	flight  atomic.Int64
	kinds   sync.Map
	tickets *gate
	counts  counts
	// admission decides which searches may start.
	admission *admission
	// prefix begins the ids of all sub-requests of this process.
	prefix string
}

// New makes a driver.
func New(cfg Config) *Driver {
	dr := &Driver{cfg: cfg, start: time.Now()}
	dr.tickets = newGate(cfg.Tickets)
	dr.counts = newCounts(cfg.Meter)
	dr.admission = newAdmission(dr)
	dr.prefix = strconv.FormatUint(cfg.Incarnation, 36) + "."
	return dr
}

// InFlight is the number of searches under way.
func (dr *Driver) InFlight() int {
	return int(dr.flight.Load())
}

// Wait returns when no search and no sub-request is under way.
func (dr *Driver) Wait() {
	dr.active.Wait()
}

// now is monotonic and counts from the start of the process.
func (dr *Driver) now() time.Duration {
	return time.Since(dr.start)
}

// kind is what searches of one kind share.
type kind struct {
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

func (dr *Driver) kindOf(key kindKey, conf team.Search) *kind {
	if got, ok := dr.kinds.Load(key); ok && got.(*kind).conf == conf {
		return got.(*kind)
	}
	kd := &kind{
		conf: conf,
		tracker: hedge.New(hedge.Config{
			Quantile: conf.Hedge.Quantile,
			Floor:    time.Duration(conf.Hedge.MinDelayMs) * time.Millisecond,
			Ceiling:  conf.HardDeadline() / 2,
		}),
		hedges:  budget.New(budget.Config{Share: conf.Hedge.Budget, Burst: hedgeBurst, Rounds: hedgeRounds}),
		retries: budget.New(budget.Config{Share: conf.Retry.Budget, Burst: retryBurst, Rounds: retryRounds}),
	}
	dr.kinds.Store(key, kd)
	return kd
}

func (dr *Driver) random(number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(dr.cfg.Seed, number))
}

// chooser makes the chooser of one search.
func (dr *Driver) chooser(now time.Duration, vw *view.View, number uint64, once bool) search.Chooser {
	ch := dr.cfg.Table.Chooser(now, vw, dr.random(number))
	if once {
		ch = ch.WithoutProbes()
	}
	return roomy{inner: ch, ad: dr.admission, blind: dr.cfg.Unlimited}
}
