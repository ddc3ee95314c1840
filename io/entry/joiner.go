package entry

import (
	"context"
	"sync"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/record"
	"laburnumvane/core/toggle"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
)

// joiner sends another VM's request to servers of this data centre.
type joiner struct {
	en    *Entry
	rq    *request
	head  []byte
	hard  time.Duration
	usual time.Duration
	jr    *inner.JoinRequest
	calls []*relay.Call
	begun time.Duration
	// box has room for all results. got and open belong to the call that is under
	// way: the first, and then the one that asks for the rest.
	box  chan arrival
	got  []arrival
	open int
	// doubted marks the servers that were not asked since they are slow or silent.
	doubted []bool
}

// followTime is how long the caller may take to ask for what an answer left out;
// after it nobody waits for the servers any more. It is short, so that they stop
// soon where the client left.
const followTime = 100 * time.Millisecond

// pending holds the joiners whose answers left something out, by token.
type pending struct {
	mu   sync.Mutex
	last uint64
	by   map[uint64]*joiner
}

func (pe *pending) put(jo *joiner) uint64 {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.by == nil {
		pe.by = make(map[uint64]*joiner)
	}
	pe.last++
	token := pe.last
	pe.by[token] = jo
	time.AfterFunc(followTime, func() {
		if left, ok := pe.take(token); ok {
			left.drop(goneTime)
		}
	})
	return token
}

func (pe *pending) take(token uint64) (*joiner, bool) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	jo, ok := pe.by[token]
	delete(pe.by, token)
	return jo, ok
}

// Join serves inner.Home: it sends a request to some servers and answers with
// what came within the time that it was given. What it leaves out can be asked
// for; it comes when all of it is there.
func (en *Entry) Join(ctx context.Context, jr *inner.JoinRequest) (*inner.JoinReply, error) {
	en.inFlight.Add(1)
	defer en.inFlight.Add(-1)
	if token := jr.GetFollow(); token != 0 {
		jo, ok := en.pending.take(token)
		if !ok {
			return &inner.JoinReply{Declined: true}, nil
		}
		return jo.follow(ctx), nil
	}
	if en.leaving.Load() || jr.GetRequest().GetId() == "" {
		return &inner.JoinReply{Declined: true}, nil
	}
	now, vw := en.cfg.Clock(), en.cfg.View()
	rq := carriedRequest(jr.GetRequest(), now, en.lead)
	if _, reason := en.routeOf(vw, rq, jr.GetRequest()); reason != "" {
		en.noteDeclined(rq, reason)
		return &inner.JoinReply{Declined: true, Reason: reason}, nil
	}
	jo := &joiner{
		en: en, jr: jr,
		rq:    rq,
		hard:  now + microseconds(jr.GetRequest().GetLeftUs()),
		usual: microseconds(jr.GetUsualUs()),
		begun: now,
		calls: make([]*relay.Call, len(jr.GetServers())),
		box:   make(chan arrival, len(jr.GetServers())),
		got:   make([]arrival, len(jr.GetServers())),

		doubted: make([]bool, len(jr.GetServers())),
	}
	jo.head = en.head(jo.rq)
	for k, id := range jr.GetServers() {
		up, ok := vw.Upstreams().Find(id)
		if !ok || !up.Takes() {
			jo.got[k].verdict = fanout.Unsent
			continue
		}
		if en.blindTo(vw, up.Service) || !en.admitCold(now, up) {
			jo.got[k].verdict = fanout.Unsent
			continue
		}
		if en.warns(now, up) {
			jo.got[k].verdict = fanout.Unsent
			jo.doubted[k] = true
			continue
		}
		jo.open++
		jo.send(k, up)
	}
	tm := time.NewTimer(microseconds(jr.GetWaitUs()))
	defer tm.Stop()
	jo.collect(ctx, tm.C)
	jo.takeBack()
	return jo.first(ctx), nil
}

// warns tells whether the caller is better off with another server, which it can ask at
// once: nothing was sent, so that it costs no token.
func (en *Entry) warns(now time.Duration, up *origin.Upstream) bool {
	return !en.cfg.Off.Off(toggle.Warnings) && en.cfg.Steer.Doubted(now, up.Process())
}

func microseconds(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }

func (jo *joiner) send(k int, up *origin.Upstream) {
	en, now := jo.en, jo.en.cfg.Clock()
	en.cfg.Meter.Count(meter.Sent, "forOthers")
	en.cfg.Steer.Begin(now, jo.usual, up.Process())
	jo.calls[k] = en.cfg.Relay.Send(up, relay.Request{
		ID:       jo.rq.id,
		Method:   jo.rq.method,
		Wire:     en.message(jo.head, jo.rq, up, jo.hard-now),
		Priority: int(jo.jr.GetPriority()),
		Done: func(rs relay.Result) {
			ar := en.arrived(k, rs, true)
			en.settle(up, ar, now, jo.usual)
			jo.box <- ar
		},
	})
}

// collect takes results until all are there, the time is over or nobody waits.
func (jo *joiner) collect(ctx context.Context, over <-chan time.Time) {
	for jo.open > 0 {
		select {
		case ar := <-jo.box:
			jo.got[ar.attempt] = ar
			jo.open--
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

// takeBack gives up what waits here for its server's connections: it cost nobody
// anything yet, and the caller may know a server with room.
func (jo *joiner) takeBack() {
	for k, ca := range jo.calls {
		if ca != nil && jo.got[k].verdict == 0 && ca.Waits() {
			ca.Drop(0)
		}
	}
	for jo.open > 0 {
		select {
		case ar := <-jo.box:
			jo.got[ar.attempt] = ar
			jo.open--
		default:
			return
		}
	}
}

// first is the answer with what is there, joined.
func (jo *joiner) first(ctx context.Context) *inner.JoinReply {
	rp := &inner.JoinReply{}
	var bodies [][]byte
	for k, ar := range jo.got {
		if ar.verdict == 0 {
			continue
		}
		rp.Parts = append(rp.Parts, jo.part(k))
		if ar.verdict == fanout.Served {
			bodies = append(bodies, ar.rs.Reply.Body)
		}
	}
	rp.Records = record.Greatest(bodies, int(jo.jr.GetLimit()))
	jo.en.cfg.Log.Info().Str("id", jo.rq.id).Int("servers", len(jo.got)).Int("served", len(bodies)).
		Int("open", jo.open).Float64("ms", float64((jo.en.cfg.Clock()-jo.begun).Microseconds())/1000).
		Msg("joined for another VM")
	switch {
	case jo.open > 0 && ctx.Err() != nil:
		jo.drop(goneTime)
	case jo.open > 0:
		rp.More = jo.en.pending.put(jo)
	}
	return rp
}

// follow waits for what the first answer left out. Each part has its own body:
// the caller may have it from another server by now.
func (jo *joiner) follow(ctx context.Context) *inner.JoinReply {
	var left []int
	for k := range jo.got {
		if jo.got[k].verdict == 0 {
			left = append(left, k)
		}
	}
	tm := time.NewTimer(max(0, jo.hard-jo.en.cfg.Clock()))
	defer tm.Stop()
	jo.collect(ctx, tm.C)
	rp := &inner.JoinReply{}
	for _, k := range left {
		pa := jo.part(k)
		if jo.got[k].verdict == fanout.Served {
			pa.Body = jo.got[k].rs.Reply.Body
		}
		rp.Parts = append(rp.Parts, pa)
	}
	if jo.open > 0 {
		jo.drop(goneTime)
	}
	return rp
}

// part is what is told of one server; one without result counts as lost.
func (jo *joiner) part(k int) *inner.JoinPart {
	ar := jo.got[k]
	pa := &inner.JoinPart{Server: uint32(k), Verdict: verdictTo(ar.verdict), TookUs: uint64(ar.rs.Took.Microseconds())}
	pa.Doubted = jo.doubted[k]
	pa.Broken = ar.broken
	if ar.verdict == fanout.Served {
		pa.Receipt = ar.rs.Reply.Header.Get(jo.en.cfg.Names.Receipt)
	}
	return pa
}

// drop gives up what is not through.
func (jo *joiner) drop(linger time.Duration) {
	for k, ca := range jo.calls {
		if ca != nil && jo.got[k].verdict == 0 {
			ca.Drop(linger)
		}
	}
}
