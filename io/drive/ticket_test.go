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
	shards    = 4
	ticketTTL = time.Hour
)

func renewal() team.Search {
	return team.Search{HardDeadlineMs: testTimeout.Milliseconds(), NeverRepeat: true, HitLimit: 5}
}

func ticketConfig(addr string) ticket.Config {
	return ticket.Config{Addr: addr, Incarnation: 1, Secret: []byte("secret of " + addr), TTL: ticketTTL, Cap: 4}
}

// countingUpstream answers all sub-requests and counts them.
func countingUpstream(runs *atomic.Int64) *upstream {
	return &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
		runs.Add(1)
		return reply(rq, shards), nil
	}}
}

// forwarder forwards searches to another driver, or fails.
type forwarder struct {
	to          *drive.Driver
	err         error
	loseAnswer  bool
	lastRequest wire.SearchRequest
}

func (fo *forwarder) Run(ctx context.Context, _ ticket.Issuer, rq wire.SearchRequest) (wire.SearchAnswer, error) {
	fo.lastRequest = rq
	if fo.err != nil {
		return wire.SearchAnswer{}, fo.err
	}
	an, _ := fo.to.RunForwarded(ctx, rq)
	if fo.loseAnswer {
		return wire.SearchAnswer{}, context.DeadlineExceeded
	}
	return an, nil
}

// vmPair is two VMs, of which the second forwards to the first.
type vmPair struct {
	is     *is.I
	first  *fixture
	second *fixture
	fo     *forwarder
	runs   atomic.Int64
}

func newPair(t *testing.T) *vmPair {
	vp := &vmPair{is: is.New(t), fo: &forwarder{}}
	cfg := fixtureConfig{shards: shards, workers: 64, up: countingUpstream(&vp.runs), search: renewal(), tickets: ticketConfig("vm1")}
	vp.first = newFixture(t, cfg)
	cfg.tickets = ticketConfig("vm2")
	cfg.forward = vp.fo
	vp.second = newFixture(t, cfg)
	vp.fo.to = vp.first.dr
	return vp
}

func withTicket(token string) wire.SearchRequest {
	rq := searchRequest()
	rq.Ticket = token
	return rq
}

func TestTickets(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name    string
		run     func(vp *vmPair, token string) wire.SearchAnswer
		outcome wire.Outcome
		reason  string
		runs    int64
	}{
		{"first use", func(vp *vmPair, token string) wire.SearchAnswer {
			return vp.first.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeComplete, "", shards},
		{"reply lost, repeated", func(vp *vmPair, token string) wire.SearchAnswer {
			vp.first.dr.Search(ctx, withTicket(token))
			return vp.first.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeComplete, "", shards},
		{"repeated on another VM", func(vp *vmPair, token string) wire.SearchAnswer {
			vp.first.dr.Search(ctx, withTicket(token))
			return vp.second.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeComplete, "", shards},
		{"forwarded answer lost, repeated", func(vp *vmPair, token string) wire.SearchAnswer {
			vp.fo.loseAnswer = true
			an := vp.second.dr.Search(ctx, withTicket(token))
			vp.is.Equal(an.Outcome, wire.OutcomeUnknown)
			vp.is.Equal(an.Reason, drive.ReasonIssuerSilent)
			vp.fo.loseAnswer = false
			return vp.second.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeComplete, "", shards},
		{"issuer unreachable", func(vp *vmPair, token string) wire.SearchAnswer {
			vp.fo.err = &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
			return vp.second.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeUnknown, drive.ReasonIssuerUnreachable, 0},
		{"issuer failed after it was asked", func(vp *vmPair, token string) wire.SearchAnswer {
			vp.fo.err = &net.OpError{Op: "read", Err: context.DeadlineExceeded}
			return vp.second.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeUnknown, drive.ReasonIssuerSilent, 0},
		{"no time left to ask the issuer", func(vp *vmPair, token string) wire.SearchAnswer {
			rq := withTicket(token)
			rq.DeadlineMs = 1
			return vp.second.dr.Search(ctx, rq)
		}, wire.OutcomeUnknown, drive.ReasonIssuerUnreachable, 0},
		{"issuer restarted", func(vp *vmPair, token string) wire.SearchAnswer {
			cfg := ticketConfig("vm1")
			cfg.Incarnation = 2
			fx := newFixture(vp.first.tb, fixtureConfig{shards: shards, workers: 64, up: countingUpstream(&vp.runs), search: renewal(), tickets: cfg})
			return fx.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeUnknown, drive.ReasonTicketVoid, 0},
		{"forwarded to a VM that did not issue it", func(vp *vmPair, token string) wire.SearchAnswer {
			an, void := vp.second.dr.RunForwarded(ctx, withTicket(token))
			vp.is.True(void)
			return an
		}, wire.OutcomeUnknown, drive.ReasonTicketVoid, 0},
		{"altered ticket", func(vp *vmPair, token string) wire.SearchAnswer {
			return vp.first.dr.Search(ctx, withTicket(token[1:]))
		}, wire.OutcomeNotRun, drive.ReasonTicketForged, 0},
		{"another request", func(vp *vmPair, token string) wire.SearchAnswer {
			vp.first.dr.Search(ctx, withTicket(token))
			rq := withTicket(token)
			rq.Query = json.RawMessage(`{"plate":"BBB-001"}`)
			return vp.first.dr.Search(ctx, rq)
		}, wire.OutcomeNotRun, drive.ReasonTicketOfOtherRequest, shards},
		{"table full", func(vp *vmPair, token string) wire.SearchAnswer {
			for _, other := range vp.first.dr.Tickets(teamName, 2) {
				vp.first.dr.Search(ctx, withTicket(other))
			}
			return vp.first.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeNotRun, drive.ReasonTicketTableFull, 2 * shards},
		// The caller got no answer and repeats the renewal on a new VM that has no
		// configuration yet. If the VM answered notRun, the caller would get a new ticket and
		// run the renewal twice.
		{"repeated on a VM without configuration", func(vp *vmPair, token string) wire.SearchAnswer {
			vp.first.dr.Search(ctx, withTicket(token))
			bare := newFixture(vp.first.tb, fixtureConfig{shards: shards, workers: 64, noConfig: true, forward: vp.fo, tickets: ticketConfig("vm3")})
			return bare.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeComplete, "", shards},
		{"repeated on a VM without configuration, issuer unreachable", func(vp *vmPair, token string) wire.SearchAnswer {
			vp.first.dr.Search(ctx, withTicket(token))
			vp.fo.err = &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
			bare := newFixture(vp.first.tb, fixtureConfig{shards: shards, workers: 64, noConfig: true, forward: vp.fo, tickets: ticketConfig("vm3")})
			return bare.dr.Search(ctx, withTicket(token))
		}, wire.OutcomeUnknown, drive.ReasonIssuerUnreachable, shards},
		{"repeatable search, sent twice with a ticket", func(vp *vmPair, token string) wire.SearchAnswer {
			rq := withTicket(token)
			rq.Repeat = wire.RepeatSafe
			vp.first.dr.Search(ctx, rq)
			return vp.second.dr.Search(ctx, rq)
		}, wire.OutcomeComplete, "", shards},
		// A forged ticket may name any address as its issuer, so nothing may be sent there. A
		// ticket signed with another key may also be valid, of a VM that has the next key
		// already, so the outcome is unknown.
		{"issued by another VM with another key", func(vp *vmPair, _ string) wire.SearchAnswer {
			cfg := ticketConfig("stranger")
			cfg.Secret = []byte("another")
			forged := newFixture(vp.first.tb, fixtureConfig{shards: shards, workers: 64, up: countingUpstream(&vp.runs), search: renewal(), tickets: cfg})
			cfg = ticketConfig("vm2")
			cfg.Shared = true
			checks := newFixture(vp.first.tb, fixtureConfig{shards: shards, workers: 64, up: countingUpstream(&vp.runs), search: renewal(), tickets: cfg, forward: vp.fo})
			return checks.dr.Search(ctx, withTicket(forged.dr.Tickets(teamName, 1)[0]))
		}, wire.OutcomeUnknown, drive.ReasonTicketUnverified, 0},
		{"no ticket", func(vp *vmPair, _ string) wire.SearchAnswer {
			return vp.first.dr.Search(ctx, withTicket(""))
		}, wire.OutcomeNotRun, drive.ReasonTicketNeeded, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			vp := newPair(t)
			an := tc.run(vp, vp.first.dr.Tickets(teamName, 1)[0])
			vp.is.Equal(an.Outcome, tc.outcome)
			vp.is.Equal(an.Reason, tc.reason)
			vp.is.Equal(vp.runs.Load(), tc.runs)
			if tc.reason == drive.ReasonTicketTableFull {
				vp.is.True(an.RetryAfterMs > 0)
			}
		})
	}
}

// The deadline sent to the issuer must be shorter than the caller's, so that the answer arrives in
// time.
func TestForwardShrinksDeadline(t *testing.T) {
	vp := newPair(t)
	rq := withTicket(vp.first.dr.Tickets(teamName, 1)[0])
	rq.DeadlineMs = 5000
	vp.second.dr.Search(context.Background(), rq)
	vp.is.True(vp.fo.lastRequest.DeadlineMs < 5000)
	vp.is.True(vp.fo.lastRequest.DeadlineMs > 0)
}

// Further attempts with the same ticket arrive while the first still runs. The second reaches its
// own deadline and the third's caller disconnects: both must get the outcome unknown. The first
// caller disconnects too, but its run must continue, and a fourth attempt must get its answer. Each
// shard must run the search once.
func TestConcurrentAttempts(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	var runs atomic.Int64
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
		runs.Add(1)
		<-unblock
		return reply(rq, shards), nil
	}}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 64, up: up, search: renewal(), tickets: ticketConfig("vm1")})
	token := fx.dr.Tickets(teamName, 1)[0]
	ctx, leave := context.WithCancel(context.Background())
	first := make(chan wire.SearchAnswer, 1)
	go func() { first <- fx.dr.Search(ctx, withTicket(token)) }()
	for runs.Load() < shards {
		time.Sleep(time.Millisecond)
	}
	short := withTicket(token)
	short.DeadlineMs = 20
	an := fx.dr.Search(context.Background(), short)
	is.Equal(an.Outcome, wire.OutcomeUnknown)
	is.Equal(an.Reason, drive.ReasonTicketRunning)
	leave()
	an = fx.dr.Search(ctx, withTicket(token)) // its caller has already disconnected
	is.Equal(an.Reason, drive.ReasonTicketRunning)
	fourth := make(chan wire.SearchAnswer, 1)
	go func() { fourth <- fx.dr.Search(context.Background(), withTicket(token)) }()
	close(unblock)
	is.Equal((<-fourth).Outcome, wire.OutcomeComplete)
	is.Equal((<-first).Outcome, wire.OutcomeComplete)
	is.Equal(runs.Load(), int64(shards))
}

// A VM stops while a search with a ticket runs. The search must be answered, and Wait must not
// return before that, so that the issuer does not end while its record of the ticket is needed.
func TestStopWaitsForFirstRun(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	var runs atomic.Int64
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
		runs.Add(1)
		<-unblock
		return reply(rq, shards), nil
	}}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 64, up: up, search: renewal(), tickets: ticketConfig("vm1")})
	answered := make(chan wire.SearchAnswer, 1)
	go func() { answered <- fx.dr.Search(context.Background(), withTicket(fx.dr.Tickets(teamName, 1)[0])) }()
	for runs.Load() < shards {
		time.Sleep(time.Millisecond)
	}
	idle := make(chan struct{})
	go func() {
		fx.dr.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		is.Fail() // Wait returned too early
	default:
	}
	close(unblock)
	<-idle
	is.Equal((<-answered).Outcome, wire.OutcomeComplete)
}

// No sub-request of a search could be sent. The outcome must be notRun, and the same ticket must
// work again once there are free workers.
func TestTicketAfterNotRun(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	blocked := make(chan struct{})
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 1, up: countingUpstream(&runs), search: renewal(), tickets: ticketConfig("vm1")})
	is.NoErr(fx.workers.Submit(func() { <-blocked }))
	token := fx.dr.Tickets(teamName, 1)[0]
	an := fx.dr.Search(context.Background(), withTicket(token))
	is.Equal(an.Outcome, wire.OutcomeNotRun)
	is.Equal(runs.Load(), int64(0))
	close(blocked)
	fx.workers.Tune(64)
	an = fx.dr.Search(context.Background(), withTicket(token))
	is.Equal(an.Outcome, wire.OutcomeComplete)
	is.Equal(runs.Load(), int64(shards))
}
