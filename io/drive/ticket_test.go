package drive_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/team"
	"laburnumvane/core/ticket"
	"laburnumvane/io/drive"
	"laburnumvane/io/wire"
)

const (
	shards = 4
	ttl    = time.Hour
)

func renewal() team.Search {
	return team.Search{HardDeadlineMs: patience.Milliseconds(), NeverRepeat: true, HitLimit: 5}
}

func ticketsOf(addr string) ticket.Config {
	return ticket.Config{Addr: addr, Incarnation: 1, Secret: []byte("secret of " + addr), TTL: ttl, Cap: 4}
}

// counting answers all shards and counts them.
func counting(runs *atomic.Int64) *upstream {
	return &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
		runs.Add(1)
		return reply(rq, shards), nil
	}}
}

// forwarder is the way from one driver to another.
type forwarder struct {
	to   *drive.Driver
	err  error
	lose bool
	got  wire.SearchRequest
}

func (fo *forwarder) Run(ctx context.Context, _ ticket.Issuer, rq wire.SearchRequest) (wire.SearchAnswer, error) {
	fo.got = rq
	if fo.err != nil {
		return wire.SearchAnswer{}, fo.err
	}
	an, _ := fo.to.RunForwarded(ctx, rq)
	if fo.lose {
		return wire.SearchAnswer{}, context.DeadlineExceeded
	}
	return an, nil
}

// pair is two VMs; the second forwards to the first.
type pair struct {
	is     *is.I
	first  *rig
	second *rig
	fo     *forwarder
	runs   atomic.Int64
}

func newPair(t *testing.T) *pair {
	pa := &pair{is: is.New(t), fo: &forwarder{}}
	cfg := rigConfig{shards: shards, workers: 64, up: counting(&pa.runs), search: renewal(), tickets: ticketsOf("vm1")}
	pa.first = newRig(t, cfg)
	cfg.tickets = ticketsOf("vm2")
	cfg.forward = pa.fo
	pa.second = newRig(t, cfg)
	pa.fo.to = pa.first.dr
	return pa
}

func renew(token string) wire.SearchRequest {
	rq := searchRequest()
	rq.Ticket = token
	return rq
}

func TestTickets(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name    string
		run     func(pa *pair, token string) wire.SearchAnswer
		outcome wire.Outcome
		reason  string
		runs    int64
	}{
		{"first use", func(pa *pair, token string) wire.SearchAnswer {
			return pa.first.dr.Search(ctx, renew(token))
		}, wire.OutcomeComplete, "", shards},
		{"the reply was lost, asked again", func(pa *pair, token string) wire.SearchAnswer {
			pa.first.dr.Search(ctx, renew(token))
			return pa.first.dr.Search(ctx, renew(token))
		}, wire.OutcomeComplete, "", shards},
		{"asked again on another VM", func(pa *pair, token string) wire.SearchAnswer {
			pa.first.dr.Search(ctx, renew(token))
			return pa.second.dr.Search(ctx, renew(token))
		}, wire.OutcomeComplete, "", shards},
		{"the forwarded answer was lost, asked again", func(pa *pair, token string) wire.SearchAnswer {
			pa.fo.lose = true
			an := pa.second.dr.Search(ctx, renew(token))
			pa.is.Equal(an.Outcome, wire.OutcomeUnknown)
			pa.is.Equal(an.Reason, drive.ReasonIssuerSilent)
			pa.fo.lose = false
			return pa.second.dr.Search(ctx, renew(token))
		}, wire.OutcomeComplete, "", shards},
		{"the issuer cannot be reached", func(pa *pair, token string) wire.SearchAnswer {
			pa.fo.err = &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
			return pa.second.dr.Search(ctx, renew(token))
		}, wire.OutcomeUnknown, drive.ReasonIssuerGone, 0},
		{"the issuer was asked and died", func(pa *pair, token string) wire.SearchAnswer {
			pa.fo.err = &net.OpError{Op: "read", Err: context.DeadlineExceeded}
			return pa.second.dr.Search(ctx, renew(token))
		}, wire.OutcomeUnknown, drive.ReasonIssuerSilent, 0},
		{"no time is left to ask the issuer", func(pa *pair, token string) wire.SearchAnswer {
			rq := renew(token)
			rq.DeadlineMs = 1
			return pa.second.dr.Search(ctx, rq)
		}, wire.OutcomeUnknown, drive.ReasonIssuerGone, 0},
		{"the issuer was restarted", func(pa *pair, token string) wire.SearchAnswer {
			cfg := ticketsOf("vm1")
			cfg.Incarnation = 2
			ri := newRig(pa.first.tb, rigConfig{shards: shards, workers: 64, up: counting(&pa.runs), search: renewal(), tickets: cfg})
			return ri.dr.Search(ctx, renew(token))
		}, wire.OutcomeUnknown, drive.ReasonTicketVoid, 0},
		{"forwarded to a VM that did not issue it", func(pa *pair, token string) wire.SearchAnswer {
			an, void := pa.second.dr.RunForwarded(ctx, renew(token))
			pa.is.True(void)
			return an
		}, wire.OutcomeUnknown, drive.ReasonTicketVoid, 0},
		{"altered", func(pa *pair, token string) wire.SearchAnswer {
			return pa.first.dr.Search(ctx, renew(token[1:]))
		}, wire.OutcomeNotRun, drive.ReasonTicketForged, 0},
		{"another request", func(pa *pair, token string) wire.SearchAnswer {
			pa.first.dr.Search(ctx, renew(token))
			rq := renew(token)
			rq.Query = json.RawMessage(`{"plate":"BBB-001"}`)
			return pa.first.dr.Search(ctx, rq)
		}, wire.OutcomeNotRun, drive.ReasonTicketBody, shards},
		{"the table is full", func(pa *pair, token string) wire.SearchAnswer {
			for _, other := range pa.first.dr.Tickets(teamName, 2) {
				pa.first.dr.Search(ctx, renew(other))
			}
			return pa.first.dr.Search(ctx, renew(token))
		}, wire.OutcomeNotRun, drive.ReasonTicketFull, 2 * shards},
		// The caller saw no answer and comes back through a VM that was just
		// replaced and holds no configuration yet. Told notRun, it would take
		// a new ticket and run the renewal twice.
		{"asked again on a VM without configuration", func(pa *pair, token string) wire.SearchAnswer {
			pa.first.dr.Search(ctx, renew(token))
			bare := newRig(pa.first.tb, rigConfig{shards: shards, workers: 64, bare: true, forward: pa.fo, tickets: ticketsOf("vm3")})
			return bare.dr.Search(ctx, renew(token))
		}, wire.OutcomeComplete, "", shards},
		{"asked again on a VM without configuration, the issuer gone", func(pa *pair, token string) wire.SearchAnswer {
			pa.first.dr.Search(ctx, renew(token))
			pa.fo.err = &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
			bare := newRig(pa.first.tb, rigConfig{shards: shards, workers: 64, bare: true, forward: pa.fo, tickets: ticketsOf("vm3")})
			return bare.dr.Search(ctx, renew(token))
		}, wire.OutcomeUnknown, drive.ReasonIssuerGone, shards},
		{"a search that may be repeated, asked twice with a ticket", func(pa *pair, token string) wire.SearchAnswer {
			rq := renew(token)
			rq.Repeat = wire.RepeatSafe
			pa.first.dr.Search(ctx, rq)
			return pa.second.dr.Search(ctx, rq)
		}, wire.OutcomeComplete, "", shards},
		// A forged ticket names an address that is no VM's: nothing must be
		// sent there. Signed under another key it may also be a true one, of
		// a VM that has the next key already.
		{"issued elsewhere under another key", func(pa *pair, _ string) wire.SearchAnswer {
			cfg := ticketsOf("stranger")
			cfg.Secret = []byte("another")
			forged := newRig(pa.first.tb, rigConfig{shards: shards, workers: 64, up: counting(&pa.runs), search: renewal(), tickets: cfg})
			cfg = ticketsOf("vm2")
			cfg.Shared = true
			checks := newRig(pa.first.tb, rigConfig{shards: shards, workers: 64, up: counting(&pa.runs), search: renewal(), tickets: cfg, forward: pa.fo})
			return checks.dr.Search(ctx, renew(forged.dr.Tickets(teamName, 1)[0]))
		}, wire.OutcomeUnknown, drive.ReasonTicketUnverified, 0},
		{"no ticket", func(pa *pair, _ string) wire.SearchAnswer {
			return pa.first.dr.Search(ctx, renew(""))
		}, wire.OutcomeNotRun, drive.ReasonTicket, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pa := newPair(t)
			an := tc.run(pa, pa.first.dr.Tickets(teamName, 1)[0])
			pa.is.Equal(an.Outcome, tc.outcome)
			pa.is.Equal(an.Reason, tc.reason)
			pa.is.Equal(pa.runs.Load(), tc.runs)
			if tc.reason == drive.ReasonTicketFull {
				pa.is.True(an.RetryAfterMs > 0)
			}
		})
	}
}

// The deadline told to the issuer is shorter than the caller's, so that the
// answer is back in time.
func TestForwardShrinksDeadline(t *testing.T) {
	pa := newPair(t)
	rq := renew(pa.first.dr.Tickets(teamName, 1)[0])
	rq.DeadlineMs = 5000
	pa.second.dr.Search(context.Background(), rq)
	pa.is.True(pa.fo.got.DeadlineMs < 5000)
	pa.is.True(pa.fo.got.DeadlineMs > 0)
}

// Three attempts with one ticket meet while the first still runs. The second
// gives up at its own deadline and the third's caller goes away: both get
// "unknown". The first caller goes away too, and its run goes on; a fourth
// attempt gets its answer. Each shard ran once.
func TestAttemptsMeet(t *testing.T) {
	is := is.New(t)
	free := make(chan struct{})
	var runs atomic.Int64
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
		runs.Add(1)
		<-free
		return reply(rq, shards), nil
	}}
	ri := newRig(t, rigConfig{shards: shards, workers: 64, up: up, search: renewal(), tickets: ticketsOf("vm1")})
	token := ri.dr.Tickets(teamName, 1)[0]
	ctx, leave := context.WithCancel(context.Background())
	first := make(chan wire.SearchAnswer, 1)
	go func() { first <- ri.dr.Search(ctx, renew(token)) }()
	for runs.Load() < shards {
		time.Sleep(time.Millisecond)
	}
	hasty := renew(token)
	hasty.DeadlineMs = 20
	an := ri.dr.Search(context.Background(), hasty)
	is.Equal(an.Outcome, wire.OutcomeUnknown)
	is.Equal(an.Reason, drive.ReasonTicketRunning)
	leave()
	an = ri.dr.Search(ctx, renew(token)) // its caller is gone from the start
	is.Equal(an.Reason, drive.ReasonTicketRunning)
	fourth := make(chan wire.SearchAnswer, 1)
	go func() { fourth <- ri.dr.Search(context.Background(), renew(token)) }()
	close(free)
	is.Equal((<-fourth).Outcome, wire.OutcomeComplete)
	is.Equal((<-first).Outcome, wire.OutcomeComplete)
	is.Equal(runs.Load(), int64(shards))
}

// A VM stops while a search with a ticket runs: it answers it, and only then is
// the driver idle, so that the issuer does not go while its memory is needed.
func TestStopWaitsForFirstRun(t *testing.T) {
	is := is.New(t)
	free := make(chan struct{})
	var runs atomic.Int64
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
		runs.Add(1)
		<-free
		return reply(rq, shards), nil
	}}
	ri := newRig(t, rigConfig{shards: shards, workers: 64, up: up, search: renewal(), tickets: ticketsOf("vm1")})
	answered := make(chan wire.SearchAnswer, 1)
	go func() { answered <- ri.dr.Search(context.Background(), renew(ri.dr.Tickets(teamName, 1)[0])) }()
	for runs.Load() < shards {
		time.Sleep(time.Millisecond)
	}
	idle := make(chan struct{})
	go func() {
		ri.dr.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		is.Fail() // the driver said that it was idle
	default:
	}
	close(free)
	<-idle
	is.Equal((<-answered).Outcome, wire.OutcomeComplete)
}

// Nothing of a search could be sent: it did not run, and the same ticket may be
// used again once there is room.
func TestTicketAfterNotRun(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	blocked := make(chan struct{})
	ri := newRig(t, rigConfig{shards: shards, workers: 1, up: counting(&runs), search: renewal(), tickets: ticketsOf("vm1")})
	is.NoErr(ri.workers.Submit(func() { <-blocked }))
	token := ri.dr.Tickets(teamName, 1)[0]
	an := ri.dr.Search(context.Background(), renew(token))
	is.Equal(an.Outcome, wire.OutcomeNotRun)
	is.Equal(runs.Load(), int64(0))
	close(blocked)
	ri.workers.Tune(64)
	an = ri.dr.Search(context.Background(), renew(token))
	is.Equal(an.Outcome, wire.OutcomeComplete)
	is.Equal(runs.Load(), int64(shards))
}
