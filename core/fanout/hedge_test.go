package fanout_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/internal/vtime"
)

// If many shards are late together, the servers are full, and hedges for all of them would add to
// their load. Only an eighth of the shards may have a hedge at a time; the others follow later.
func TestHedgesAreLimited(t *testing.T) {
	is := is.New(t)
	cfg := config(36, 35)
	cfg.MaxHedges = fanout.MaxHedges(36)
	mc := fanout.New(cfg)
	mc.Start(0)
	mc.Step(40*ms, served(35))
	is.Equal(countSends(mc.Step(50*ms, fanout.Event{Kind: fanout.EvWake})), 4)
	is.Equal(countSends(mc.Step(60*ms, served(0))), 0)
	is.Equal(mc.Wake(), 100*ms)
	is.Equal(countSends(mc.Step(100*ms, fanout.Event{Kind: fanout.EvWake})), 1) // shard 0 is done
	is.Equal(fanout.MaxHedges(10), 0)
}

// The first server is late, and the hedge got no connection. If it is not sent to another server, the
// request waits for the late one until its deadline. It must not need a second token, since the first
// one caused no work.
func TestUnsentHedgeIsRepeated(t *testing.T) {
	is := is.New(t)
	cfg := config(1, 1)
	budget := &fixedBudget{left: 1}
	cfg.Budget = budget
	mc := fanout.New(cfg)
	mc.Start(0)
	is.Equal(countSends(mc.Step(50*ms, fanout.Event{Kind: fanout.EvWake})), 1)
	acts := mc.Step(100*ms, fanout.Event{Kind: fanout.EvResult, Attempt: 1, Verdict: fanout.Unsent})
	is.Equal(countSends(acts), 1)
	is.Equal(acts[0].Upstream.ID, "c0")
	is.Equal(acts[0].Cause, fanout.CauseHedge)
	is.Equal(budget.left, 0)
}

// crowd replays clients that return at once to idle servers: 36 shards with three servers of four
// slots each, 28 ms of work, a twentieth of it five times as long.
type crowd struct {
	agenda  vtime.Agenda[func()]
	rnd     *rand.Rand
	servers map[string]*replayServer
	max     int
	inTime  int
}

type replayServer struct {
	running int
	// queue holds whether the attempts that wait were dropped, start what starts them.
	queue []*bool
	start []func()
}

const (
	crowdShards = 36
	crowdSlots  = 4
	crowdTarget = 300 * ms
	// handshake is the work of a new connection, which replaces that of a dropped attempt.
	handshake = 6 * ms
)

// Pick implements fanout.Chooser.
func (cr *crowd) Pick(_ time.Duration, rq fanout.PickRequest) (*origin.Upstream, bool) {
	from := cr.rnd.IntN(3)
	for i := range 3 {
		id := string(rune('a'+(from+i)%3)) + string(rune('0'+rq.Shard))
		if !slices.ContainsFunc(rq.Tried, func(up *origin.Upstream) bool { return up.ID == id }) {
			return &origin.Upstream{ID: id}, true
		}
	}
	return nil, false
}

func (cr *crowd) work() time.Duration {
	work := time.Duration(cr.rnd.ExpFloat64()*8*float64(ms)) + 20*ms
	if cr.rnd.IntN(20) == 0 {
		work *= 5
	}
	return work
}

// send runs an attempt on a server, behind those that wait there. Setting dropped removes it from
// the queue.
func (cr *crowd) send(id string, dropped *bool, work time.Duration, done func()) {
	sv := cr.servers[id]
	if sv == nil {
		sv = &replayServer{}
		cr.servers[id] = sv
	}
	run := func() {
		sv.running++
		cr.agenda.After(work, func() {
			sv.running--
			done()
			for len(sv.queue) > 0 && sv.running < crowdSlots {
				gone, start := sv.queue[0], sv.start[0]
				sv.queue, sv.start = sv.queue[1:], sv.start[1:]
				if !*gone {
					start()
				}
			}
		})
	}
	if sv.running < crowdSlots {
		run()
		return
	}
	sv.queue, sv.start = append(sv.queue, dropped), append(sv.start, run)
}

// gather runs one request.
func (cr *crowd) gather() {
	began := cr.agenda.Now()
	cfg := config(crowdShards, crowdShards-1)
	cfg.Chooser, cfg.Budget, cfg.MaxHedges = cr, &fixedBudget{left: 1000}, cr.max
	cfg.Target, cfg.HardDeadline, cfg.HedgeAfter = began+crowdTarget, began+3*time.Second, 50*ms
	mc := fanout.New(cfg)
	dropped, ids := make(map[int]*bool), make(map[int]string)
	var carryOut func(acts []fanout.Action)
	var wake func()
	answered := false
	step := func(ev fanout.Event) {
		if !answered {
			carryOut(mc.Step(cr.agenda.Now(), ev))
			wake()
		}
	}
	wake = func() {
		if !answered {
			cr.agenda.After(mc.Wake()-cr.agenda.Now(), func() { step(fanout.Event{Kind: fanout.EvWake}) })
		}
	}
	carryOut = func(acts []fanout.Action) {
		for _, ac := range acts {
			switch ac.Kind {
			case fanout.ActSend:
				gone := new(bool)
				dropped[ac.Attempt], ids[ac.Attempt] = gone, ac.Upstream.ID
				cr.send(ac.Upstream.ID, gone, cr.work(), func() { step(served(ac.Attempt)) })
			case fanout.ActDrop:
				if !*dropped[ac.Attempt] {
					*dropped[ac.Attempt] = true
					cr.send(ids[ac.Attempt], new(bool), handshake, func() {})
				}
			case fanout.ActAnswer:
				answered = true
				if ac.Answer.Outcome == fanout.OutcomeServed && ac.Answer.At <= began+crowdTarget {
					cr.inTime++
				}
			}
		}
	}
	carryOut(mc.Start(began))
	wake()
}

// Clients that were waiting for VMs without power return at once: for half a second, requests come
// four to five times as often as usual. The servers are full for a moment, and requests must not
// add to that by hedges for all of their shards, nor by the connections that replace those of
// dropped attempts.
func TestReplayCrowd(t *testing.T) {
	is := is.New(t)
	replay := func(seed uint64, limit int) int {
		cr := &crowd{rnd: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*replayServer{}, max: limit}
		for at := time.Duration(0); at < 3*time.Second; {
			cr.agenda.After(at, cr.gather)
			perSecond := 110.0
			if at < 500*ms {
				perSecond = 500
			}
			at += time.Duration(cr.rnd.ExpFloat64() / perSecond * float64(time.Second))
		}
		for event := range cr.agenda.Until(10 * time.Second) {
			event()
		}
		return cr.inTime
	}
	limited, unlimited := 0, 0
	for seed := range uint64(5) {
		a, b := replay(seed, fanout.MaxHedges(crowdShards)), replay(seed, 0)
		t.Logf("seed %d: %d in time with the limit, %d without", seed, a, b)
		limited, unlimited = limited+a, unlimited+b
	}
	is.True(limited*100 > unlimited*105)
}
