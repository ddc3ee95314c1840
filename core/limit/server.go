package limit

import (
	"math"
	"sync"
	"time"
)

// Kind says how a sub-request ended.
type Kind uint8

// Ends of a sub-request.
const (
	// Replied: the server answered; Latency, Running and Queued hold.
	Replied Kind = iota + 1
	// Shed: the server refused for want of room, or is cold.
	Shed
	// Failed: an error, a timeout or a broken connection.
	Failed
	// Neutral says nothing of load: cancelled, or refused for another reason.
	Neutral
)

// Sample is what the end of one sub-request shows.
type Sample struct {
	Kind    Kind
	Latency time.Duration
	// Running and Queued are the server's account on the reply; 0 if it gives
	// none.
	Running int
	Queued  int
}

// server is this VM's limit on one server.
type server struct {
	mu       sync.Mutex
	cfg      *Config
	group    *group
	limit    float64
	inFlight int
	// base is the latency without a queue, fast the recent one.
	base float64
	fast float64
	// replies counts those in base, up to baseReplies.
	replies int
	replyAt time.Duration
	// queueAt is when a reply last showed a queue.
	queueAt time.Duration
	// mend is the limit before failures cut it; 0 once that is over.
	mend    float64
	lastCut time.Duration
	// ref is the base of about a second ago.
	ref   float64
	refAt time.Duration
	// nextAt paces a limit below 1.
	nextAt time.Duration
	// bad counts failures since the last reply.
	bad int
	out bool
}

func newServer(cfg *Config) *server {
	return &server{cfg: cfg, limit: cfg.Start}
}

func (sv *server) begin(now time.Duration) {
	sv.mu.Lock()
	sv.inFlight++
	sv.nextAt = now + sv.pause()
	gr, trip := sv.group, sv.trip()
	sv.mu.Unlock()
	gr.begin(now, trip)
}

// pause is the least time between sends under a limit below 1.
func (sv *server) pause() time.Duration {
	if sv.limit >= 1 {
		return 0
	}
	return min(time.Duration(sv.trip()/sv.limit), mostPause)
}

// due tells whether a pause is over. One of more than mostPause is none: the
// clock handed in was set back, and would else hold the server back for as long.
func due(now, at time.Duration) bool {
	return now >= at || at-now > mostPause
}

// mostPause is longer than any pause.
const mostPause = 20 * time.Second

// trip is the length of a round trip, in nanoseconds.
func (sv *server) trip() float64 {
	return max(sv.base, float64(sv.cfg.LeastTrip))
}

func (sv *server) room(now time.Duration) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.limit < 1 {
		return sv.inFlight == 0 && due(now, sv.nextAt)
	}
	return float64(sv.inFlight) < sv.limit
}

// whole tells whether the server may be sent work for want of a better one.
func (sv *server) whole() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return !sv.out && !sv.broken()
}

// load is the work in flight in units of the limit; the least is the best.
func (sv *server) load() float64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return float64(sv.inFlight+1) / sv.limit
}

func (sv *server) end(now time.Duration, sa Sample) {
	sv.mu.Lock()
	used := float64(sv.inFlight) >= sv.limit/2
	sv.inFlight--
	before := sv.share()
	switch {
	case sa.Kind == Replied:
		sv.replied(now, sa, used)
	case sa.Kind == Shed:
		sv.bad = 0
		sv.cut(now, sv.cfg.ShedCut)
	case sa.Kind == Failed, sv.stuck(sa):
		sv.failed(now)
	}
	after := sv.share()
	gr := sv.group
	sv.mu.Unlock()
	gr.change(-1, after.minus(before))
}

// stuck tells whether a sub-request that was given up had taken so long that
// the server is to blame. Without it a server that accepts and never answers
// would look idle where hedges win each time.
func (sv *server) stuck(sa Sample) bool {
	return sa.Kind == Neutral && sv.base > 0 && float64(sa.Latency) > stuckTimes*sv.base
}

// broken tells whether the server fails rather than being full.
func (sv *server) broken() bool {
	return sv.bad >= brokenAfter
}

// share is what the server adds to its group. One that fails again and again
// adds nothing, however fast its errors come.
func (sv *server) share() share {
	if sv.out || sv.broken() {
		return share{}
	}
	return share{limit: sv.limit, servers: 1}
}

func (sv *server) replied(now time.Duration, sa Sample, used bool) {
	sv.bad = 0
	sv.learn(now, sa)
	trips := sv.tripsSince(now)
	switch {
	case sv.queues(sa):
		sv.queueAt = now
		sv.mend = 0
		sv.limit = max(sv.cfg.Least, sv.limit*(1-min(sv.cfg.QueueCut*trips, mostCut)))
	case used:
		sv.limit = min(sv.cfg.Most, sv.limit+sv.rise(now, trips))
	}
}

// tripsSince is the time since the last reply in round trips. Steps are weighed
// by it: weighed by replies, a VM with a small limit, which gets few, stayed
// behind for as long as the others kept the server busy.
func (sv *server) tripsSince(now time.Duration) float64 {
	trips := float64(now-sv.replyAt) / sv.trip()
	sv.replyAt = now
	return min(max(trips, 0), mostTrips)
}

// queues tells whether a reply shows that sub-requests wait at the server. The
// latency speaks only where this reply and the recent ones agree: one is chance,
// and the recent ones alone went on cutting a limit for seconds after the queue
// was gone, since a cut limit brings few replies.
func (sv *server) queues(sa Sample) bool {
	// One that waits is no queue: it keeps a slot busy between two replies.
	if float64(sa.Queued) > max(1, sv.cfg.Press*float64(sa.Running)) {
		return true
	}
	slow := max(sv.cfg.Slow*sv.base, sv.base+float64(sv.cfg.Slack))
	return float64(sa.Latency) > slow && sv.fast > slow
}

// rise is the step up. It goes with the fourth root of the limit: with a fixed
// step many VMs with small limits would keep a long queue at the server, with a
// proportional one they would not come to like limits. It grows with the time
// since a queue was last seen: a small limit gets few replies, and counted in
// replies it had not come back five seconds after slots that were cut had been
// given back. A limit that failures cut doubles until it is near what it was.
func (sv *server) rise(now time.Duration, trips float64) float64 {
	if sv.limit < sv.mend/2 {
		return sv.limit
	}
	quiet := float64(now-sv.queueAt) / sv.trip()
	step := sv.cfg.Step * math.Sqrt(math.Sqrt(sv.limit)) * (1 + quiet/quietTrips)
	return min(step*trips, sv.limit/2)
}

// learn follows the latency with and without a queue. A reply that met a queue
// can only lower the latter: under a long overload the queue would become the
// norm, and the limit would grow into it.
func (sv *server) learn(now time.Duration, sa Sample) {
	lat := float64(sa.Latency)
	if sv.base == 0 {
		sv.replies = 1
		sv.base, sv.fast = lat, lat
		sv.ref, sv.refAt = lat, now
		return
	}
	sv.fast += (lat - sv.fast) / recentReplies
	if sa.Queued == 0 || lat < sv.base {
		// The first replies count for more: one that met the rush of a start
		// would else pass for the norm, and slow pacing would keep it so.
		sv.replies = min(sv.replies+1, baseReplies)
		sv.base += (lat - sv.base) / float64(sv.replies)
	}
	// A server may say that nothing waits while something does: the norm may
	// rise by a bounded share a second and no faster.
	if now >= sv.refAt+time.Second {
		sv.ref, sv.refAt = sv.base, now
	}
	sv.base = min(sv.base, sv.ref*(1+baseRise))
}

// failed halves the limit; from the second failure in a row a cut needs no
// round trip between, so that fast errors do not outrun the cuts.
func (sv *server) failed(now time.Duration) {
	sv.bad++
	if sv.bad > 1 {
		sv.lastCut = now - time.Duration(sv.trip())
	}
	sv.cut(now, sv.cfg.FailCut)
}

// cut lowers the limit, at most once in a round trip: the replies of one round
// trip all tell of the same queue.
func (sv *server) cut(now time.Duration, by float64) {
	if now >= sv.lastCut && now < sv.lastCut+time.Duration(sv.trip()) {
		return
	}
	sv.lastCut = now
	sv.queueAt = now
	sv.mend = max(sv.mend, sv.limit)
	sv.limit = max(sv.cfg.Least, sv.limit*(1-by))
}
