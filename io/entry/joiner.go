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

// joiner sends another VM's request to servers of this data centre and collects their results.
type joiner struct {
	en           *Entry
	rq           *request
	head         []byte
	hardDeadline time.Duration
	usualLatency time.Duration
	jr           *inner.JoinRequest
	calls        []*relay.Call
	begun        time.Duration
	// mailbox has room for all results. results and open are used by one call at a time: first
	// by the one that sends the request, then by the one that asks for the rest.
	mailbox chan attemptResult
	results []attemptResult
	open    int
	// doubted marks the servers that were not asked because they are slow or silent.
	doubted []bool
}

// followTimeout is how long the caller may take to ask for the results that a reply left out.
// After it the remaining attempts are cancelled. It is short, so that servers stop soon if the
// client has disconnected.
const followTimeout = 100 * time.Millisecond

// pending holds the joiners whose first reply left out results, by token.
type pending struct {
	mu        sync.Mutex
	lastToken uint64
	byToken   map[uint64]*joiner
}

func (pe *pending) put(jo *joiner) uint64 {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.byToken == nil {
		pe.byToken = make(map[uint64]*joiner)
	}
	pe.lastToken++
	token := pe.lastToken
	pe.byToken[token] = jo
	time.AfterFunc(followTimeout, func() {
		if unclaimed, ok := pe.take(token); ok {
			unclaimed.drop(clientGoneLinger)
		}
	})
	return token
}

func (pe *pending) take(token uint64) (*joiner, bool) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	jo, ok := pe.byToken[token]
	delete(pe.byToken, token)
	return jo, ok
}

// Join implements inner.Home: it sends a request to some servers and replies with the results
// that arrive within the given time. The caller can ask for the rest with a token; that second
// reply is sent when all results are there or the deadline has passed.
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
	now, waited := en.cfg.Clock(), microseconds(jr.GetWaitedUs())
	rq := en.forwardedRequest(jr.GetRequest(), now, waited)
	vw := en.cfg.View()
	if reason := en.matchJoined(vw, rq, jr.GetRequest()); reason != "" {
		en.noteDeclined(rq, reason)
		return &inner.JoinReply{Declined: true, Reason: reason}, nil
	}
	jo := &joiner{
		en: en, jr: jr,
		rq:           rq,
		hardDeadline: now + microseconds(jr.GetRequest().GetLeftUs()) - waited,
		usualLatency: microseconds(jr.GetUsualUs()),
		begun:        now,
		calls:        make([]*relay.Call, len(jr.GetServers())),
		mailbox:      make(chan attemptResult, len(jr.GetServers())),
		results:      make([]attemptResult, len(jr.GetServers())),

		doubted: make([]bool, len(jr.GetServers())),
	}
	jo.head = en.head(jo.rq)
	for k, id := range jr.GetServers() {
		up, ok := vw.Upstreams().Find(id)
		if !ok || !up.Accepting() {
			jo.results[k].verdict = fanout.Unsent
			continue
		}
		if en.mayMissWarmUp(vw, up.Service) || !en.admitCold(now, up) {
			jo.results[k].verdict = fanout.Unsent
			continue
		}
		if en.shouldWarn(now, up) {
			jo.results[k].verdict = fanout.Unsent
			jo.doubted[k] = true
			continue
		}
		jo.open++
		jo.send(k, up)
	}
	tm := time.NewTimer(microseconds(jr.GetWaitUs()))
	defer tm.Stop()
	jo.collect(ctx, tm.C)
	jo.dropQueued()
	return jo.firstReply(ctx), nil
}

// shouldWarn reports whether the caller should use another server because this one is slow or
// silent. The caller can do so at once and without a retry token, because nothing was sent.
func (en *Entry) shouldWarn(now time.Duration, up *origin.Upstream) bool {
	return !en.cfg.Off.Off(toggle.Warnings) && en.cfg.Steer.Doubted(now, up.Process())
}

func microseconds(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }

func (jo *joiner) send(k int, up *origin.Upstream) {
	en, now := jo.en, jo.en.cfg.Clock()
	en.cfg.Meter.Count(meter.Sent, "forOthers")
	en.cfg.Steer.Begin(now, jo.usualLatency, up.Process())
	jo.calls[k] = en.cfg.Relay.Send(up, relay.Request{
		ID:       jo.rq.id,
		Method:   jo.rq.method,
		Message:  func() []byte { return en.message(jo.head, jo.rq, up, now, jo.hardDeadline) },
		Priority: int(jo.jr.GetPriority()),
		Done: func(rs relay.Result) {
			ar := en.newAttemptResult(k, rs, true)
			en.settle(up, ar, now, jo.usualLatency)
			jo.mailbox <- ar
		},
	})
}

// collect receives results until all are there, the time is over or the caller has left.
func (jo *joiner) collect(ctx context.Context, over <-chan time.Time) {
	for jo.open > 0 {
		select {
		case ar := <-jo.mailbox:
			jo.results[ar.attempt] = ar
			jo.open--
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

// dropQueued cancels the attempts that wait here for a connection. They have caused no work
// yet, and the caller may know a server with capacity.
func (jo *joiner) dropQueued() {
	for k, ca := range jo.calls {
		if ca != nil && jo.results[k].verdict == 0 && ca.Queued() {
			ca.Drop(0)
		}
	}
	for jo.open > 0 {
		select {
		case ar := <-jo.mailbox:
			jo.results[ar.attempt] = ar
			jo.open--
		default:
			return
		}
	}
}

// firstReply joins the results that are there and leaves out the others.
func (jo *joiner) firstReply(ctx context.Context) *inner.JoinReply {
	rp := &inner.JoinReply{}
	var bodies [][]byte
	for k, ar := range jo.results {
		if ar.verdict == 0 {
			continue
		}
		rp.Parts = append(rp.Parts, jo.part(k))
		if ar.verdict == fanout.Served {
			bodies = append(bodies, ar.rs.Reply.Body)
		}
	}
	rp.Records = record.Greatest(bodies, int(jo.jr.GetLimit()))
	jo.en.cfg.Log.Info().Str("id", jo.rq.id).Int("servers", len(jo.results)).Int("served", len(bodies)).
		Int("open", jo.open).Float64("ms", float64((jo.en.cfg.Clock()-jo.begun).Microseconds())/1000).
		Msg("joined for another VM")
	switch {
	case jo.open > 0 && ctx.Err() != nil:
		jo.drop(clientGoneLinger)
	case jo.open > 0:
		rp.More = jo.en.pending.put(jo)
	}
	return rp
}

// follow waits for the results that the first reply left out. Each part has its own body,
// because the caller may already have that shard's records from another server.
func (jo *joiner) follow(ctx context.Context) *inner.JoinReply {
	var missing []int
	for k := range jo.results {
		if jo.results[k].verdict == 0 {
			missing = append(missing, k)
		}
	}
	tm := time.NewTimer(max(0, jo.hardDeadline-jo.en.cfg.Clock()))
	defer tm.Stop()
	jo.collect(ctx, tm.C)
	rp := &inner.JoinReply{}
	for _, k := range missing {
		pa := jo.part(k)
		if jo.results[k].verdict == fanout.Served {
			pa.Body = jo.results[k].rs.Reply.Body
		}
		rp.Parts = append(rp.Parts, pa)
	}
	if jo.open > 0 {
		jo.drop(clientGoneLinger)
	}
	return rp
}

// part converts one result for the reply; an attempt without a result counts as lost.
func (jo *joiner) part(k int) *inner.JoinPart {
	ar := jo.results[k]
	pa := &inner.JoinPart{Server: uint32(k), Verdict: verdictToWire(ar.verdict), TookUs: uint64(ar.rs.Took.Microseconds())}
	pa.Doubted = jo.doubted[k]
	pa.Broken = ar.broken
	if ar.verdict == fanout.Served {
		pa.Receipt = ar.rs.Reply.Header.Get(jo.en.cfg.Names.Receipt)
	}
	return pa
}

// drop cancels the attempts that have no result yet.
func (jo *joiner) drop(linger time.Duration) {
	for k, ca := range jo.calls {
		if ca != nil && jo.results[k].verdict == 0 {
			ca.Drop(linger)
		}
	}
}
