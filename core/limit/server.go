package limit

import (
	"math"
	"sync"
	"time"
)

// Kind is how a sub-request ended.
type Kind uint8

// Kinds of ends.
const (
	// Replied: the server answered; Latency, Running and Queued are set.
	Replied Kind = iota + 1
	// Shed: the server refused because it is at capacity or cold.
	Shed
	// Failed: an error, a timeout or a broken connection.
	Failed
	// Neutral: cancelled, or refused for a reason other than load.
	Neutral
)

// Sample is what the end of one sub-request shows about its server.
type Sample struct {
	Kind    Kind
	Latency time.Duration
	// Running and Queued are the sub-requests at the server as the reply states
	// them; 0 if it does not.
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
	// baseLatency is the average latency without a queue, recentLatency that of
	// the recent replies, in nanoseconds.
	baseLatency   float64
	recentLatency float64
	// baseCount is the number of replies in baseLatency, up to baseWindow.
	baseCount int
	lastReply time.Duration
	// lastQueue is when a reply last showed a queue, or the limit was last
	// decreased by a refusal or failure.
	lastQueue time.Duration
	// limitBeforeFailures is the limit before refusals and failures decreased
	// it; 0 once a reply has shown a queue since.
	limitBeforeFailures float64
	lastCut             time.Duration
	// refLatency is the baseLatency of about a second ago, at refAt.
	refLatency float64
	refAt      time.Duration
	// nextSend is the earliest time for the next send under a limit below 1.
	nextSend time.Duration
	// failures counts the failures since the last reply or refusal.
	failures int
	excluded bool
}

func newServer(cfg *Config) *server {
	return &server{cfg: cfg, limit: cfg.InitialLimit}
}

func (sv *server) begin(now time.Duration) {
	sv.mu.Lock()
	sv.inFlight++
	sv.nextSend = now + sv.pause()
	gr, trip := sv.group, sv.roundTrip()
	sv.mu.Unlock()
	gr.begin(now, trip)
}

// pause is the minimum time between sends under a limit below 1.
func (sv *server) pause() time.Duration {
	if sv.limit >= 1 {
		return 0
	}
	return min(time.Duration(sv.roundTrip()/sv.limit), maxPause)
}

// pauseOver reports whether a pause that ends at at is over. A remaining pause longer
// than maxPause means that the clock was set back; it counts as over, since the server
// would otherwise get no work for as long.
func pauseOver(now, at time.Duration) bool {
	return now >= at || at-now > maxPause
}

// maxPause is the longest pause between sends.
const maxPause = 20 * time.Second

// roundTrip is the round-trip time without a queue, in nanoseconds.
func (sv *server) roundTrip() float64 {
	return max(sv.baseLatency, float64(sv.cfg.MinRoundTrip))
}

func (sv *server) hasCapacity(now time.Duration) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.limit < 1 {
		return sv.inFlight == 0 && pauseOver(now, sv.nextSend)
	}
	return float64(sv.inFlight) < sv.limit
}

// usable reports whether the server may be used as a fallback.
func (sv *server) usable() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return !sv.excluded && !sv.broken()
}

// load is the sub-requests in flight plus one, divided by the limit.
func (sv *server) load() float64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return float64(sv.inFlight+1) / sv.limit
}

func (sv *server) end(now time.Duration, sa Sample) {
	sv.mu.Lock()
	halfUsed := float64(sv.inFlight) >= sv.limit/2
	sv.inFlight--
	before := sv.contribution()
	switch {
	case sa.Kind == Replied:
		sv.onReply(now, sa, halfUsed)
	case sa.Kind == Shed:
		sv.failures = 0
		sv.decrease(now, sv.cfg.ShedCut)
	case sa.Kind == Failed, sv.stuck(sa):
		sv.onFailure(now)
	}
	after := sv.contribution()
	gr := sv.group
	sv.mu.Unlock()
	gr.update(-1, after.minus(before))
}

// stuck reports whether a cancelled sub-request had taken so long that it counts as a
// failure of the server. Otherwise a server that accepts and never answers would look
// idle if a hedge always answers first.
func (sv *server) stuck(sa Sample) bool {
	return sa.Kind == Neutral && sv.baseLatency > 0 && float64(sa.Latency) > stuckFactor*sv.baseLatency
}

// broken reports whether the server fails rather than being at capacity.
func (sv *server) broken() bool {
	return sv.failures >= brokenAfter
}

// contribution is what the server adds to its group. A broken server adds nothing,
// however fast it returns its errors.
func (sv *server) contribution() contribution {
	if sv.excluded || sv.broken() {
		return contribution{}
	}
	return contribution{limit: sv.limit, servers: 1}
}

func (sv *server) onReply(now time.Duration, sa Sample, halfUsed bool) {
	sv.failures = 0
	sv.updateLatency(now, sa)
	trips := sv.tripsSinceReply(now)
	switch {
	case sv.showsQueue(sa):
		sv.lastQueue = now
		sv.limitBeforeFailures = 0
		sv.limit = max(sv.cfg.MinLimit, sv.limit*(1-min(sv.cfg.QueueCut*trips, maxQueueCut)))
	case halfUsed:
		sv.limit = min(sv.cfg.MaxLimit, sv.limit+sv.increase(now, trips))
	}
}

// tripsSinceReply is the time since the last reply in round trips, and records this
// reply. Steps are weighted by it rather than by the number of replies: otherwise a VM
// with a small limit, which gets few replies, kept its small limit for as long as the
// other VMs kept the server busy.
func (sv *server) tripsSinceReply(now time.Duration) float64 {
	trips := float64(now-sv.lastReply) / sv.roundTrip()
	sv.lastReply = now
	return min(max(trips, 0), maxTrips)
}

// showsQueue reports whether a reply shows that sub-requests wait at the server. The
// latency counts only if both this reply and the recent average are slow: one slow
// reply may be chance, and the recent average alone kept decreasing the limit for
// seconds after the queue was gone, since a small limit gives few replies.
func (sv *server) showsQueue(sa Sample) bool {
	// One waiting sub-request is not a queue: it keeps a slot busy between
	// two replies.
	if float64(sa.Queued) > max(1, sv.cfg.MaxQueueRatio*float64(sa.Running)) {
		return true
	}
	slow := max(sv.cfg.SlowFactor*sv.baseLatency, sv.baseLatency+float64(sv.cfg.LatencyTolerance))
	return float64(sa.Latency) > slow && sv.recentLatency > slow
}

// increase is the increase of the limit after trips round trips without a queue. It is
// proportional to the fourth root of the limit: with a fixed step, many VMs with small
// limits would keep a long queue at the server; with a proportional step, their limits
// would not become equal. It grows with the time since a queue was last seen, not with
// the number of replies: a small limit gets few replies, and counted in replies a limit
// had not recovered five seconds after a server's slots had been restored. A limit
// decreased by refusals or failures doubles until it is half of its former value.
func (sv *server) increase(now time.Duration, trips float64) float64 {
	if sv.limit < sv.limitBeforeFailures/2 {
		return sv.limit
	}
	tripsSinceQueue := float64(now-sv.lastQueue) / sv.roundTrip()
	step := sv.cfg.Step * math.Sqrt(math.Sqrt(sv.limit)) * (1 + tripsSinceQueue/stepDoublingTrips)
	return min(step*trips, sv.limit/2)
}

// updateLatency updates the recent latency and that without a queue. A reply that
// reports a queue can only lower the latter. Otherwise, under a long overload, the
// latency with a queue would become the baseline, and the limit would grow.
func (sv *server) updateLatency(now time.Duration, sa Sample) {
	latency := float64(sa.Latency)
	if sv.baseLatency == 0 {
		sv.baseCount = 1
		sv.baseLatency, sv.recentLatency = latency, latency
		sv.refLatency, sv.refAt = latency, now
		return
	}
	sv.recentLatency += (latency - sv.recentLatency) / recentWindow
	if sa.Queued == 0 || latency < sv.baseLatency {
		// The first replies have a higher weight. Otherwise a first reply that
		// was slow because of a burst at the start would remain the baseline,
		// all the more since pacing by it gives few replies.
		sv.baseCount = min(sv.baseCount+1, baseWindow)
		sv.baseLatency += (latency - sv.baseLatency) / float64(sv.baseCount)
	}
	// A server may report an empty queue although sub-requests wait, so that
	// the baseline may rise only by a limited share per second.
	if now >= sv.refAt+time.Second {
		sv.refLatency, sv.refAt = sv.baseLatency, now
	}
	sv.baseLatency = min(sv.baseLatency, sv.refLatency*(1+maxBaseRise))
}

// onFailure decreases the limit by FailCut. From the second failure in a row, there is
// no minimum time between decreases, so that they keep up with fast errors.
func (sv *server) onFailure(now time.Duration) {
	sv.failures++
	if sv.failures > 1 {
		sv.lastCut = now - time.Duration(sv.roundTrip())
	}
	sv.decrease(now, sv.cfg.FailCut)
}

// decrease lowers the limit by a share, at most once in a round trip: all replies of
// one round trip show the same queue.
func (sv *server) decrease(now time.Duration, by float64) {
	if now >= sv.lastCut && now < sv.lastCut+time.Duration(sv.roundTrip()) {
		return
	}
	sv.lastCut = now
	sv.lastQueue = now
	sv.limitBeforeFailures = max(sv.limitBeforeFailures, sv.limit)
	sv.limit = max(sv.cfg.MinLimit, sv.limit*(1-by))
}
