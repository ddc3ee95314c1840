package valve_test

import (
	"math"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/queue"
	"laburnumvane/core/steer"
	"laburnumvane/core/valve"
)

const (
	serverSlots = 5
	serverQueue = 12
	// pauseShare of the attempts meet a pause of the server, with the mean duration pauseMean.
	pauseShare = 0.04
	pauseMean  = 60 * ms
	// maxConns is the number of connections of a VM to a server.
	maxConns = 4
)

// fault is what is wrong with a server, and when.
type fault struct {
	from, until time.Duration
	// slow multiplies the duration of work. failing is the share of requests that fail.
	slow, failing float64
	// silentTo returns whether a VM gets no response; nil means that all get one.
	silentTo func(vm int) bool
}

// scene is a load and the faults of servers by their index.
type scene struct {
	rate   float64
	until  time.Duration
	faults map[int][]fault
}

type replayServer struct {
	rp      *replay
	up      *origin.Upstream
	faults  []fault
	running int
	waiting []*replayAttempt
}

func (sv *replayServer) slowdown() float64 {
	slow := 1.0
	for _, fa := range sv.faults {
		if sv.rp.Now() >= fa.from && sv.rp.Now() < fa.until {
			slow = max(slow, fa.slow)
		}
	}
	return slow
}

func (sv *replayServer) fails() bool {
	for _, fa := range sv.faults {
		if sv.rp.Now() >= fa.from && sv.rp.Now() < fa.until && sv.rp.rnd.Float64() < fa.failing {
			return true
		}
	}
	return false
}

func (sv *replayServer) silentTo(vm int) bool {
	for _, fa := range sv.faults {
		if sv.rp.Now() >= fa.from && sv.rp.Now() < fa.until && fa.silentTo != nil && fa.silentTo(vm) {
			return true
		}
	}
	return false
}

// receive starts, queues or refuses an attempt.
func (sv *replayServer) receive(at *replayAttempt) {
	switch {
	case at.settled || sv.silentTo(at.rq.vm.index):
	case sv.fails():
		sv.respond(at, fanout.Failed)
	case sv.running < serverSlots:
		sv.start(at)
	case len(sv.waiting) < serverQueue:
		sv.waiting = append(sv.waiting, at)
	default:
		sv.respond(at, fanout.Refused)
	}
}

func (sv *replayServer) start(at *replayAttempt) {
	sv.running++
	work := float64(replayUsual) * math.Exp(0.35*sv.rp.rnd.NormFloat64()) * sv.slowdown()
	if sv.rp.rnd.Float64() < pauseShare {
		work += sv.rp.rnd.ExpFloat64() * float64(pauseMean)
	}
	sv.rp.After(time.Duration(work), func() {
		sv.running--
		for len(sv.waiting) > 0 && sv.running < serverSlots {
			next := sv.waiting[0]
			sv.waiting = sv.waiting[1:]
			if !next.settled {
				sv.start(next)
			}
		}
		sv.respond(at, fanout.Served)
	})
}

func (sv *replayServer) respond(at *replayAttempt, ve fanout.Verdict) {
	lo := steer.Load{Running: sv.running, Waiting: len(sv.waiting), Slots: serverSlots, Slowdown: sv.slowdown()}
	sv.rp.After(sv.distance(at.rq.vm), func() {
		if at.settled || sv.silentTo(at.rq.vm.index) {
			return
		}
		at.rq.vm.table.RecordLoad(sv.rp.Now(), sv.up, lo, sv.rp.Now()-at.sentAt)
		at.settle(ve)
	})
}

func (sv *replayServer) distance(vm *replayVM) time.Duration {
	if sv.up.DataCentre == vm.dataCentre {
		return ms / 2
	}
	return 2 * ms
}

// replayConns are the connections of a VM to a server.
type replayConns struct {
	vm           *replayVM
	server       *replayServer
	busy, window int
	queue        queue.Queue[*replayAttempt]
}

func (co *replayConns) send(at *replayAttempt) {
	if co.busy >= min(co.window, maxConns) {
		co.queue.Push(0, at)
		return
	}
	co.busy++
	at.sent, at.sentAt = true, co.server.rp.Now()
	co.server.rp.After(co.server.distance(co.vm), func() { co.server.receive(at) })
}

// release ends the use of a connection.
func (co *replayConns) release() {
	co.busy--
	for co.busy < min(co.window, maxConns) {
		next, ok := co.queue.Pop()
		if !ok {
			return
		}
		co.send(next)
	}
}

// replayAttempt is one request to one server.
type replayAttempt struct {
	rq            *replayRequest
	k             int
	conns         *replayConns
	begun, sentAt time.Duration
	sent, settled bool
}

// settle ends an attempt with the verdict of the server.
func (at *replayAttempt) settle(ve fanout.Verdict) {
	at.settled = true
	rq, now := at.rq, at.rq.rp.Now()
	at.conns.window = rq.vm.table.End(now, at.conns.server.up.Process(), steer.Result{
		Verdict: ve, Latency: now - at.sentAt, UsualLatency: replayUsual, MaxConnections: maxConns,
	})
	at.conns.release()
	rq.step(fanout.Event{Kind: fanout.EvResult, Attempt: at.k, Verdict: ve})
}

// withdraw cancels an attempt.
func (at *replayAttempt) withdraw() {
	if at.settled {
		return
	}
	at.settled = true
	now := at.rq.rp.Now()
	at.rq.vm.table.Withdraw(now, at.conns.server.up.Process(), now-at.begun)
	if at.sent {
		at.conns.release()
		return
	}
	at.conns.queue.Remove(at)
}

// replayRequest is a gather.
type replayRequest struct {
	rp              *replay
	vm              *replayVM
	valve           *valve.Valve
	mc              *fanout.Machine
	arrived, target time.Duration
	hedgeAfter      time.Duration
	attempts        []*replayAttempt
	// denied is set if a needed attempt had no token, or one waited for a connection.
	denied, done bool
	// wakeAt is when the scheduled timer fires; 0 if there is none.
	wakeAt time.Duration
}

func (rq *replayRequest) Pick(now time.Duration, pr fanout.PickRequest) (*origin.Upstream, bool) {
	ki := steer.RequestKind{UsualLatency: replayUsual, Slack: rq.hedgeAfter}
	return rq.vm.table.Pick(now, ki, rq.rp.shards[pr.Shard], pr.Tried, rq.rp.rnd.Float64)
}

func (rq *replayRequest) Spend(shard int, need fanout.Need) bool {
	now := rq.rp.Now()
	if need == fanout.NeedAnswer {
		rq.vm.neededAt[shard] = now
	}
	reserve := need.Reserve(extraDepth*extraSlack/replayVMs, now-rq.vm.neededAt[shard])
	if rq.rp.rule == anyDenial {
		reserve = 0
	}
	ok := rq.vm.budgets[shard].SpendAbove(reserve)
	rq.denied = rq.denied || need != fanout.NeedNone && !ok
	return ok
}

// earn credits the tokens for the request and for the time since the previous one.
func (rq *replayRequest) earn() {
	now := rq.rp.Now()
	for i, bu := range rq.vm.budgets {
		bu.Credit(extraFlow * extraSlack / replayVMs * min(1, float64(now-rq.vm.lastCredit[i])/float64(extraWindow)))
		bu.Earn(1)
		rq.vm.lastCredit[i] = now
		rq.rp.primary[i] = append(rq.rp.primary[i], now)
	}
}

func (rq *replayRequest) step(ev fanout.Event) {
	rq.perform(rq.mc.Step(rq.rp.Now(), ev))
}

func (rq *replayRequest) perform(acts []fanout.Action) {
	rp := rq.rp
	var sends []*replayAttempt
	for _, ac := range acts {
		switch ac.Kind {
		case fanout.ActSend:
			at := &replayAttempt{rq: rq, k: ac.Attempt, conns: rq.vm.conns[ac.Upstream.ID], begun: rp.Now()}
			rq.attempts = append(rq.attempts, at)
			sends = append(sends, at)
			if ac.Cause != fanout.CauseFirst {
				rp.extra[ac.Shard] = append(rp.extra[ac.Shard], rp.Now())
			}
		case fanout.ActDrop:
			rq.drop(rq.attempts[ac.Attempt])
		case fanout.ActAnswer:
			rq.done = true
			rp.count(rq, ac.Answer)
		}
	}
	for _, at := range sends {
		rq.vm.table.Begin(rp.Now(), replayUsual, at.conns.server.up.Process())
		at.conns.send(at)
	}
	rq.scheduleWake()
}

// drop cancels an attempt whose response is not needed; one that was sent may continue until the
// deadline.
func (rq *replayRequest) drop(at *replayAttempt) {
	if !at.sent {
		at.withdraw()
		return
	}
	rq.rp.After(rq.arrived+replayDeadline-rq.rp.Now(), at.withdraw)
}

// scheduleWake schedules the machine's timer, unless an event that is due earlier does so.
func (rq *replayRequest) scheduleWake() {
	at := rq.mc.Wake()
	if rq.done || rq.wakeAt > 0 && rq.wakeAt <= at {
		return
	}
	rq.wakeAt = at
	rq.rp.After(at-rq.rp.Now(), func() {
		if rq.done || rq.wakeAt != at {
			return
		}
		rq.wakeAt = 0
		if rq.rp.Now() < rq.mc.Wake() {
			rq.scheduleWake()
			return
		}
		rq.dropQueued()
		rq.step(fanout.Event{Kind: fanout.EvWake})
	})
}

// dropQueued cancels the attempts that have waited for a connection for the delay of a hedge.
func (rq *replayRequest) dropQueued() {
	for _, at := range rq.attempts {
		if !at.sent && !at.settled && rq.rp.Now()-at.begun >= rq.hedgeAfter {
			rq.denied = true
			rq.mc.CapacityLacked(rq.rp.Now())
			at.withdraw()
			// The result arrives after the step for the timer, as it does through the mailbox.
			rq.rp.After(0, func() {
				if !rq.done {
					rq.step(fanout.Event{Kind: fanout.EvResult, Attempt: at.k, Verdict: fanout.Unsent})
				}
			})
		}
	}
}
