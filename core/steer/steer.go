package steer

import (
	"math"
	"sync"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/toggle"
)

// Weights of the cost. All times are what one more attempt is expected to take.
const (
	// queueShare is how much of its latency each request in flight adds: a
	// server works on several at once, so that less than a whole one is waited
	// for.
	queueShare = 0.5
	// farShare and farLeast are what a server in another data centre costs
	// more, as a share of the usual latency and at least. Bytes between data
	// centres are paid for, so that a near server is left only for a clear gain.
	farShare = 1.6
	farLeast = 5 * time.Millisecond
	// joinedPart is the part of that for a server whose answer comes joined with those
	// of others there: a receipt in place of a request, headers and a body.
	joinedPart = 0.25
	// quietTimes and quietLeast say when a server with requests in flight
	// counts as gone quiet: longer than so many usual latencies, and so long.
	quietTimes = 2.5
	quietLeast = 15 * time.Millisecond
	// darkAfter is how long a server may be quiet before it gets nothing more
	// until it speaks: several times the pauses that servers make.
	darkAfter = 700 * time.Millisecond
	// failCost and refuseCost are what a failure and a refusal cost on average:
	// another round trip and a token of the budget.
	failCost   = 300 * time.Millisecond
	refuseCost = 100 * time.Millisecond
	// avoidTime is how long a server gets nothing after no connection could be
	// opened to it, or it stayed dark. Where the pool goes on trying, the next
	// success ends it sooner.
	avoidTime = 2 * time.Second
	// strangerTime is the same for a server that is not at its address any
	// more; its process will not come back.
	strangerTime = time.Minute
	// gain is the weight of the newest latency and verdict.
	gain = 0.3
	// slowTimes makes a strike: an answer that took so many times the usual.
	slowTimes = 3.5
	// mostSlow bounds how slow a server is taken to be.
	mostSlow = 20
	// fadeFirst is the time within which what is remembered of a server loses
	// two thirds. fadeNext holds from the second strike on and doubles with
	// each: that server is slow, and each look at it costs a slow answer.
	fadeFirst = 400 * time.Millisecond
	fadeNext  = 4 * time.Second
	fadeMost  = 8 * time.Second
	// failFade is the same for failures and refusals.
	failFade = 4 * time.Second
	// windowMost bounds how many requests of this VM a server works on or queues. A
	// window is cut when an answer took windowTimes the usual, at most once for each
	// round trip and by as much as it took longer, to between windowCutMost and
	// windowCutLeast of what it was, and rises by windowRise for each round trip
	// without. It never stands above what this VM's connections allow, or the first
	// cuts would change nothing: with both, the last of three servers of a shard
	// answered within 100 ms and not 133 at the median, in the second after the others
	// were lost. The rise is small since all VMs rise together: with a whole request a
	// round trip nine VMs filled that server's queue again at once.
	//
	// A refusal alone does not cut it: a server that is full is slow too, and one that
	// refuses at random takes what it takes. At a third more load than a server can
	// take its own queue would grow until each answer is late; so the queue stays at
	// that length, and what does not fit waits here, where it can still go elsewhere.
	windowMost     = 16
	windowCutLeast = 0.7
	windowCutMost  = 0.3
	windowRise     = 0.2
	windowTimes    = 3
	// expectFor is how long the longest kind of request is remembered.
	expectFor = time.Second
	// soundTimes and soundFails bound what a sound server may be remembered for:
	// less than a strike, and one failure or refusal twelve seconds ago.
	soundTimes = 2
	soundFails = 0.02
	// warnedSlow is how many times the usual a server is thought to take that another VM
	// found slow or silent: enough for it to be left, and gone with fadeFirst unless this
	// VM sees the same.
	warnedSlow = 4
	// noise keeps VMs with the same memory from choosing the same server.
	noise = 0.1
)

// Config sets a table.
type Config struct {
	// DataCentre is where this VM stands.
	DataCentre string
	// Off are the mechanisms that are switched off.
	Off toggle.Set
}

// Table holds what this VM has seen of each server.
type Table struct {
	cfg  Config
	mu   sync.Mutex
	seen map[origin.Process]*memory
	// tells are the services whose servers tell their load.
	tells map[string]bool
}

// New makes an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, seen: make(map[origin.Process]*memory), tells: make(map[string]bool)}
}

// Kind is what is known of a kind of request.
type Kind struct {
	// Usual is what such a request takes at most servers.
	Usual time.Duration
	// Slack is how long a server may say nothing before it is passed over: the
	// time after which another one would be asked anyway. A pause that ends
	// before costs the request nothing, and the way around it bytes between
	// data centres.
	Slack time.Duration
	// Joined is the data centre from which the answer would come joined with others;
	// empty if there is none.
	Joined string
	// Told has what servers tell of their load decide too.
	Told bool
}

// Pick returns the cheapest of the servers that take requests and are not in
// tried. The draw, uniform within 0 to 1, parts servers of nearly the same cost.
// There may be none though some are listed: those that cannot be reached or stay
// dark are no choice, and the caller can say so at once.
func (tb *Table) Pick(now time.Duration, ki Kind, ups, tried []*origin.Upstream, draw func() float64) (*origin.Upstream, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var best *origin.Upstream
	least := math.Inf(1)
	for _, up := range ups {
		if !up.Takes() || contains(tried, up) {
			continue
		}
		cost, ok := tb.cost(now, ki, up)
		if cost *= 1 + noise*draw(); ok && cost < least {
			best, least = up, cost
		}
	}
	return best, best != nil
}

func contains(ups []*origin.Upstream, up *origin.Upstream) bool {
	for _, other := range ups {
		if other.ID == up.ID {
			return true
		}
	}
	return false
}

// cost is in nanoseconds; ok is false if the server is no choice.
func (tb *Table) cost(now time.Duration, ki Kind, up *origin.Upstream) (cost float64, ok bool) {
	usual := ki.Usual
	cost = float64(usual)
	if up.DataCentre != tb.cfg.DataCentre && !tb.cfg.Off.Off(toggle.Nearness) {
		way := max(farShare*float64(usual), float64(farLeast))
		if up.DataCentre == ki.Joined {
			way *= joinedPart
		}
		cost += way
	}
	me, seen := tb.seen[up.Process()]
	if !seen {
		return cost, true
	}
	latency := float64(usual) * me.slowness(now)
	if ki.Told && !tb.cfg.Off.Off(toggle.Loads) {
		pace := max(me.slowness(now), me.told.pace(now))
		latency = float64(usual) * pace * (1 + me.told.wait(now))
	}
	quiet := me.quiet(now)
	if now < me.avoidUntil || quiet > float64(darkAfter) {
		return 0, false
	}
	cost += latency*(1+queueShare*float64(me.inFlight)) - float64(usual)
	if !tb.cfg.Off.Off(toggle.Failures) {
		kept := fading(now-me.failAt, failFade)
		cost += kept * (me.fails*float64(failCost) + me.refusals*float64(refuseCost))
	}
	if !tb.cfg.Off.Off(toggle.Pauses) {
		cost += max(0, quiet-float64(ki.Slack))
	}
	return cost, true
}

// Begin counts an attempt as in flight.
func (tb *Table) Begin(now, usual time.Duration, pr origin.Process) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me := tb.of(pr)
	if me.inFlight == 0 {
		me.quietSince = now
	}
	if usual >= me.expect || now-me.expectAt > expectFor {
		me.expect, me.expectAt = usual, now
	}
	me.inFlight++
}

func (tb *Table) of(pr origin.Process) *memory {
	me, ok := tb.seen[pr]
	if !ok {
		me = &memory{window: windowMost}
		tb.seen[pr] = me
	}
	return me
}

// Attempt is what came of an attempt.
type Attempt struct {
	Verdict fanout.Verdict
	// Took is how long the server took; Usual what it takes at most servers.
	Took  time.Duration
	Usual time.Duration
	// Most is how many connections this VM may have to the server, which is as many
	// requests at once; 0 if that is not known.
	Most int
}

// End settles an attempt and returns how many requests of this VM the server may
// have at once from now on.
func (tb *Table) End(now time.Duration, pr origin.Process, at Attempt) (window int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me, ok := tb.seen[pr]
	if !ok {
		return windowMost
	}
	me.inFlight = max(0, me.inFlight-1)
	switch at.Verdict {
	case fanout.Served:
		if !tb.cfg.Off.Off(toggle.Slowness) {
			me.note(now, at)
		}
		me.mark(now, 0, 0)
		me.quietSince = now
		// A short request behind a long one is no sign of a queue.
		if allowed := windowTimes * max(at.Usual, me.expect); at.Took > allowed {
			me.cut(now, at.Took, float64(allowed))
		} else {
			me.window += windowRise / me.window
		}
	case fanout.Failed:
		me.mark(now, 1, 0)
		me.quietSince = now
	case fanout.Refused:
		me.mark(now, 0, 1)
		me.quietSince = now
	case fanout.Elsewhere:
		me.avoidUntil = now + strangerTime
	case fanout.Lost:
		// The connection failed; another one may work.
		me.mark(now, 1, 0)
	}
	if at.Most > 0 {
		me.window = min(me.window, float64(at.Most))
	}
	me.window = min(me.window, windowMost)
	return int(me.window)
}

// Withdraw settles an attempt that was given up by this VM. One that had waited
// for long shows that the server is dark.
func (tb *Table) Withdraw(now time.Duration, pr origin.Process, waited time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me, ok := tb.seen[pr]
	if !ok {
		return
	}
	me.inFlight = max(0, me.inFlight-1)
	if waited > darkAfter && now-me.quietSince > darkAfter {
		me.avoidUntil = now + avoidTime
	}
}

// Reached tells whether a connection to a server could be opened.
func (tb *Table) Reached(now time.Duration, pr origin.Process, ok bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me := tb.of(pr)
	if ok {
		me.avoidUntil = min(me.avoidUntil, now)
		return
	}
	me.avoidUntil = max(me.avoidUntil, now+avoidTime)
}

// Sound tells whether nothing speaks against a server: it is not slow, does not
// refuse or fail, and is not silent.
func (tb *Table) Sound(now time.Duration, pr origin.Process) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me, ok := tb.seen[pr]
	if !ok {
		return true
	}
	kept := fading(now-me.failAt, failFade)
	return me.strikes == 0 && me.slowness(now) < soundTimes &&
		kept*(me.fails+me.refusals) < soundFails && me.quiet(now) == 0 && now >= me.avoidUntil
}

// Doubted tells whether a server is slow, or silent for longer than it should be.
func (tb *Table) Doubted(now time.Duration, pr origin.Process) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me, ok := tb.seen[pr]
	return ok && (me.strikes > 1 && me.slowness(now) >= soundTimes || me.quiet(now) > 0)
}

// Warn takes another VM's word that a server is slow or silent. A VM that stands beside a
// server has its answers to many others: with three requests of ten to a slow server each
// of 21 VMs needs a second to find one, and the VMs beside it a fifth of that.
func (tb *Table) Warn(now time.Duration, pr origin.Process) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me := tb.of(pr)
	if me.slowness(now) < warnedSlow {
		me.slow, me.slowAt = warnedSlow, now
	}
}

// SoundPlaces lists the data centres other than this VM's own that have a sound server
// among those; near tells whether this one has.
func (tb *Table) SoundPlaces(now time.Duration, ups []*origin.Upstream) (near bool, places []string) {
	for _, up := range ups {
		switch {
		case !up.Takes() || !tb.Sound(now, up.Process()):
		case up.DataCentre == tb.cfg.DataCentre:
			near = true
		default:
			places = append(places, up.DataCentre)
		}
	}
	return near, places
}

// Quiet is how long a server with requests of this VM has said nothing.
func (tb *Table) Quiet(now time.Duration, pr origin.Process) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	me, ok := tb.seen[pr]
	if !ok || me.inFlight == 0 {
		return 0
	}
	return now - me.quietSince
}

// Overdue counts the servers outside this VM's data centre that should have answered
// something by now.
func (tb *Table) Overdue(now time.Duration, dir *origin.Directory) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	owed := 0
	dir.All(func(up *origin.Upstream) {
		me, seen := tb.seen[up.Process()]
		if seen && up.DataCentre != tb.cfg.DataCentre && me.quiet(now) > 0 {
			owed++
		}
	})
	return owed
}

// Keep forgets all servers but those.
func (tb *Table) Keep(dir *origin.Directory) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for pr, me := range tb.seen {
		if !dir.Has(pr) && me.inFlight == 0 {
			delete(tb.seen, pr)
		}
	}
}
