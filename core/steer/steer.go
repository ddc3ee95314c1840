package steer

import (
	"math"
	"sync"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/toggle"
)

// Weights of the cost. All durations are the expected time of one more attempt.
const (
	// queueShare is the share of a server's latency that each request in flight adds. It is below
	// 1 since a server runs several requests concurrently.
	queueShare = 0.5
	// remoteCostRatio (as a share of the usual latency) and minRemoteCost are the extra cost of a
	// server in another data centre. Traffic between data centres is paid for, so a local server
	// is passed over only for a clear gain.
	remoteCostRatio = 1.6
	minRemoteCost   = 5 * time.Millisecond
	// joinedCostRatio is the share of that extra cost for a server whose answer is sent joined
	// with others from its data centre: it takes a receipt instead of a request, headers and a
	// body.
	joinedCostRatio = 0.25
	// A server with requests in flight counts as silent once it has not answered for silentRatio
	// times the usual latency, and for at least minSilence.
	silentRatio = 2.5
	minSilence  = 15 * time.Millisecond
	// unresponsiveAfter is how long a server may be silent before it gets no further requests
	// until it answers: several times the length of pauses on servers.
	unresponsiveAfter = 700 * time.Millisecond
	// failCost and refuseCost are the average costs of a failure and of a refusal: another round
	// trip and a token of the retry budget.
	failCost   = 300 * time.Millisecond
	refuseCost = 100 * time.Millisecond
	// avoidTime is how long a server is not picked after no connection could be opened to it, or
	// after it became unresponsive. If the connection pool keeps trying, its next success ends
	// this early.
	avoidTime = 2 * time.Second
	// staleAddressTime is the same after another process answered at the server's address: the
	// old process will not come back.
	staleAddressTime = time.Minute
	// smoothing is the weight of the newest latency and verdict in the moving averages.
	smoothing = 0.3
	// slowRatio is the ratio to the usual latency from which on an answer counts as slow.
	slowRatio = 3.5
	// maxSlowdown bounds the estimated slowdown.
	maxSlowdown = 20
	// decayFirst is the time in which a slowdown loses two thirds of its weight. decayRepeated
	// applies from the second slow answer in a row and doubles with each further one up to
	// decayMax, since each new check of a slow server costs a slow answer.
	decayFirst    = 400 * time.Millisecond
	decayRepeated = 4 * time.Second
	decayMax      = 8 * time.Second
	// failureDecay is the decay time of failures and refusals.
	failureDecay = 4 * time.Second
	// windowMax bounds how many requests of this VM a server runs or queues. The window is cut
	// when an answer took more than windowCutRatio times the usual latency, at most once per
	// round trip and in proportion to the excess, to between windowCutMin and windowCutMax of its
	// size. Otherwise it grows by windowIncrease per round trip. It never exceeds this VM's
	// maximum number of connections, or the first cuts would have no effect. With both rules, the
	// last of three servers of a shard answered within 100 ms instead of 133 ms at the median, in
	// the second after the other two were lost. The increase is small since all VMs increase at
	// the same time: at one request per round trip, nine VMs filled that server's queue again at
	// once.
	//
	// A refusal alone does not cut the window: an overloaded server is slow as well, and one that
	// refuses at random still takes its usual throughput. At a third more load than a server's
	// capacity its own queue would grow until every answer is late. The window keeps the queue at
	// an acceptable length; excess requests wait on this VM, where they can still be sent to
	// another server.
	windowMax      = 16
	windowCutMax   = 0.7
	windowCutMin   = 0.3
	windowIncrease = 0.2
	windowCutRatio = 3
	// longestUsualTTL is how long the longest kind of request is remembered.
	longestUsualTTL = time.Second
	// healthySlowdown and healthyFailures bound what is remembered of a server that counts as
	// healthy: less than a slow answer, and one failure or refusal twelve seconds ago.
	healthySlowdown = 2
	healthyFailures = 0.02
	// warnedSlowdown is the slowdown assumed for a server that another VM reported as slow or
	// silent: enough for other servers to be preferred, and decaying with decayFirst unless this
	// VM observes the same.
	warnedSlowdown = 4
	// costNoise is the random variation of costs, so that VMs with the same observations do not
	// all pick the same server.
	costNoise = 0.1
)

// Config holds the parameters of a Table.
type Config struct {
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Off is the set of disabled mechanisms.
	Off toggle.Set
}

// Table holds this VM's observations of each server. It is safe for concurrent use.
type Table struct {
	cfg   Config
	mu    sync.Mutex
	stats map[origin.Process]*serverStats
	// reportsLoad holds, by service, whether its servers report their load.
	reportsLoad map[string]bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, stats: make(map[origin.Process]*serverStats), reportsLoad: make(map[string]bool)}
}

// RequestKind describes a kind of request.
type RequestKind struct {
	// UsualLatency is the latency of such a request on most servers.
	UsualLatency time.Duration
	// Slack is how long a server may be silent before that raises its cost: the time after which
	// a hedge would be sent anyway. A pause that ends earlier costs the request nothing, while
	// avoiding it costs traffic between data centres.
	Slack time.Duration
	// JoinDataCentre is the data centre whose answer would be sent joined with others; empty if there
	// is none.
	JoinDataCentre string
	// UseLoadReports lets the load reports of servers influence the cost.
	UseLoadReports bool
}

// Pick returns the cheapest server that takes requests and is not in tried. Draw returns uniform
// random numbers in [0, 1), to spread requests over servers of nearly the same cost. Servers that
// are unreachable or unresponsive are never picked, so that the caller can fail at once if there
// are no others; ok is then false.
func (tb *Table) Pick(now time.Duration, ki RequestKind, ups, tried []*origin.Upstream, draw func() float64) (*origin.Upstream, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var best *origin.Upstream
	least := math.Inf(1)
	for _, up := range ups {
		if !up.Accepting() || contains(tried, up) {
			continue
		}
		cost, ok := tb.cost(now, ki, up)
		if cost *= 1 + costNoise*draw(); ok && cost < least {
			best, least = up, cost
		}
	}
	return best, best != nil
}

// Cost returns the expected time of one more attempt at a server, and the same for a server without
// observations; ok is false if the server must not be picked.
func (tb *Table) Cost(now time.Duration, ki RequestKind, up *origin.Upstream) (cost, base time.Duration, ok bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	nanos, ok := tb.cost(now, ki, up)
	return time.Duration(nanos), time.Duration(tb.baseCost(ki, up)), ok && up.Accepting()
}

func contains(ups []*origin.Upstream, up *origin.Upstream) bool {
	for _, other := range ups {
		if other.ID == up.ID {
			return true
		}
	}
	return false
}

// cost returns the cost in nanoseconds; ok is false if the server must not be picked.
func (tb *Table) cost(now time.Duration, ki RequestKind, up *origin.Upstream) (cost float64, ok bool) {
	usual := ki.UsualLatency
	cost = tb.baseCost(ki, up)
	st, seen := tb.stats[up.Process()]
	if !seen {
		return cost, true
	}
	latency := float64(usual) * st.currentSlowdown(now)
	if ki.UseLoadReports && !tb.cfg.Off.Off(toggle.Loads) {
		pace := max(st.currentSlowdown(now), st.report.currentPace(now))
		latency = float64(usual) * pace * (1 + st.report.queueWait(now))
	}
	silentFor := st.silence(now)
	if now < st.avoidUntil || silentFor > float64(unresponsiveAfter) {
		return 0, false
	}
	cost += latency*(1+queueShare*float64(st.inFlight)) - float64(usual)
	if !tb.cfg.Off.Off(toggle.Failures) {
		weight := decay(now-st.ratesAt, failureDecay)
		cost += weight * (st.failureRate*float64(failCost) + st.refusalRate*float64(refuseCost))
	}
	if !tb.cfg.Off.Off(toggle.Pauses) {
		cost += max(0, silentFor-float64(ki.Slack))
	}
	return cost, true
}

// baseCost returns the cost of a server without observations, in nanoseconds.
func (tb *Table) baseCost(ki RequestKind, up *origin.Upstream) float64 {
	usual := ki.UsualLatency
	if up.DataCentre == tb.cfg.DataCentre || tb.cfg.Off.Off(toggle.Nearness) {
		return float64(usual)
	}
	remoteCost := max(remoteCostRatio*float64(usual), float64(minRemoteCost))
	if up.DataCentre == ki.JoinDataCentre {
		remoteCost *= joinedCostRatio
	}
	return float64(usual) + remoteCost
}

// Begin records the start of an attempt.
func (tb *Table) Begin(now, usual time.Duration, pr origin.Process) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st := tb.statsOf(pr)
	if st.inFlight == 0 {
		st.silentSince = now
	}
	if usual >= st.longestUsual || now-st.longestUsualAt > longestUsualTTL {
		st.longestUsual, st.longestUsualAt = usual, now
	}
	st.inFlight++
}

func (tb *Table) statsOf(pr origin.Process) *serverStats {
	st, ok := tb.stats[pr]
	if !ok {
		st = &serverStats{window: windowMax}
		tb.stats[pr] = st
	}
	return st
}

// Result is the outcome of an attempt.
type Result struct {
	Verdict fanout.Verdict
	// Latency is the latency of the attempt, UsualLatency that of its kind on most servers.
	Latency      time.Duration
	UsualLatency time.Duration
	// MaxConnections is the maximum number of connections, and thus of concurrent requests, from this
	// VM to the server; 0 if unknown.
	MaxConnections int
}

// End records the end of an attempt and returns how many requests of this VM the server may have
// in flight from now on.
func (tb *Table) End(now time.Duration, pr origin.Process, rs Result) (window int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st, ok := tb.stats[pr]
	if !ok {
		return windowMax
	}
	st.inFlight = max(0, st.inFlight-1)
	switch rs.Verdict {
	case fanout.Served, fanout.Failed, fanout.Refused:
		st.respondedAt = now
	}
	switch rs.Verdict {
	case fanout.Served:
		if !tb.cfg.Off.Off(toggle.Slowness) {
			st.recordLatency(now, rs)
		}
		st.recordOutcome(now, 0, 0)
		st.silentSince = now
		// A short request queued behind a long one does not indicate overload.
		if allowed := windowCutRatio * max(rs.UsualLatency, st.longestUsual); rs.Latency > allowed {
			st.cutWindow(now, rs.Latency, float64(allowed))
		} else {
			st.window += windowIncrease / st.window
		}
	case fanout.Failed:
		st.recordOutcome(now, 1, 0)
		st.silentSince = now
	case fanout.Refused:
		st.recordOutcome(now, 0, 1)
		st.silentSince = now
	case fanout.Elsewhere:
		st.avoidUntil = now + staleAddressTime
	case fanout.Lost:
		// The connection failed; a new one may work.
		st.recordOutcome(now, 1, 0)
	}
	if rs.MaxConnections > 0 {
		st.window = min(st.window, float64(rs.MaxConnections))
	}
	st.window = min(st.window, windowMax)
	return int(st.window)
}

// Withdraw records that this VM cancelled an attempt. If it had waited for long, and the server
// answered nothing meanwhile, the server counts as unresponsive.
func (tb *Table) Withdraw(now time.Duration, pr origin.Process, waited time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st, ok := tb.stats[pr]
	if !ok {
		return
	}
	st.inFlight = max(0, st.inFlight-1)
	if waited > unresponsiveAfter && now-st.silentSince > unresponsiveAfter {
		st.avoidUntil = now + avoidTime
	}
}

// RecordConnect records whether a connection to a server could be opened.
func (tb *Table) RecordConnect(now time.Duration, pr origin.Process, ok bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st := tb.statsOf(pr)
	if ok {
		st.avoidUntil = min(st.avoidUntil, now)
		return
	}
	st.avoidUntil = max(st.avoidUntil, now+avoidTime)
}

// Retain removes all servers that are not in the directory and have no requests in flight.
func (tb *Table) Retain(dir *origin.Directory) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for pr, st := range tb.stats {
		if !dir.Has(pr) && st.inFlight == 0 {
			delete(tb.stats, pr)
		}
	}
}
