package ticket_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/ticket"
)

const ttl = time.Minute

func newTable(addr string, inc uint64) *ticket.Table[string] {
	return ticket.New[string](ticket.Config{
		Addr:        addr,
		Incarnation: inc,
		Secret:      []byte(fmt.Sprint("secret of ", addr, inc)),
		TTL:         ttl,
		Cap:         8,
		MaxBytes:    100,
	})
}

// The verdict on a ticket for each state of its use.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name string
		run  func(tb *ticket.Table[string], token string) ticket.Verdict[string]
		want ticket.VerdictKind
	}{
		{"first use", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			return tb.Begin(0, token, "wash", 1)
		}, ticket.VerdictRun},
		{"repeated while running", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			tb.Begin(0, token, "wash", 1)
			return tb.Begin(0, token, "wash", 1)
		}, ticket.VerdictWait},
		{"repeated after the reply was lost", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			tb.Finish(tb.Begin(0, token, "wash", 1).Number, "found", 5)
			return tb.Begin(ttl-1, token, "wash", 1)
		}, ticket.VerdictAnswered},
		{"repeated after release", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			tb.Release(tb.Begin(0, token, "wash", 1).Number)
			return tb.Begin(0, token, "wash", 1)
		}, ticket.VerdictRun},
		{"released after the answer", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			number := tb.Begin(0, token, "wash", 1).Number
			tb.Finish(number, "found", 5)
			tb.Release(number)
			return tb.Begin(0, token, "wash", 1)
		}, ticket.VerdictAnswered},
		{"different request", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			tb.Begin(0, token, "wash", 1)
			return tb.Begin(0, token, "wash", 2)
		}, ticket.VerdictOtherBody},
		{"different team", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			return tb.Begin(0, token, "enrol", 1)
		}, ticket.VerdictOtherTeam},
		{"issuer paused past the expiry", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			tb.Begin(0, token, "wash", 1)
			return tb.Begin(ttl, token, "wash", 1)
		}, ticket.VerdictExpired},
		{"finished past the expiry", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			vd := tb.Begin(0, token, "wash", 1)
			tb.Begin(ttl, token, "wash", 1)
			tb.Finish(vd.Number, "found", 5)
			return tb.Begin(ttl, token, "wash", 1)
		}, ticket.VerdictExpired},
		{"issuer restarted", func(_ *ticket.Table[string], token string) ticket.Verdict[string] {
			return newTable("vm1", 2).Begin(0, token, "wash", 1)
		}, ticket.VerdictEarlierProcess},
		{"different VM", func(_ *ticket.Table[string], token string) ticket.Verdict[string] {
			return newTable("vm2", 1).Begin(0, token, "wash", 1)
		}, ticket.VerdictElsewhere},
		{"truncated", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			return tb.Begin(0, token[:len(token)-1], "wash", 1)
		}, ticket.VerdictForged},
		{"signed with another secret", func(tb *ticket.Table[string], _ string) ticket.Verdict[string] {
			other := ticket.New[string](ticket.Config{Addr: "vm1", Incarnation: 1, Secret: []byte("guess"), TTL: ttl, Cap: 8})
			return tb.Begin(0, other.Issue(0, "wash"), "wash", 1)
		}, ticket.VerdictForged},
		{"not a ticket", func(tb *ticket.Table[string], _ string) ticket.Verdict[string] {
			return tb.Begin(0, "ticket", "wash", 1)
		}, ticket.VerdictForged},
		{"too long", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			return tb.Begin(0, token+strings.Repeat("A", 1000), "wash", 1)
		}, ticket.VerdictForged},
		{"team's half of the table is full", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			for range 4 {
				tb.Begin(0, tb.Issue(0, "wash"), "wash", 1)
			}
			return tb.Begin(0, token, "wash", 1)
		}, ticket.VerdictFull},
		{"another team's half is full", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			for range 9 {
				tb.Begin(0, tb.Issue(0, "enrol"), "enrol", 1)
			}
			return tb.Begin(0, token, "wash", 1)
		}, ticket.VerdictRun},
		{"full, then tickets expire", func(tb *ticket.Table[string], _ string) ticket.Verdict[string] {
			for range 4 {
				tb.Begin(0, tb.Issue(0, "wash"), "wash", 1)
			}
			return tb.Begin(ttl, tb.Issue(ttl, "wash"), "wash", 1)
		}, ticket.VerdictRun},
		{"answer dropped", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			tb.Finish(tb.Begin(0, token, "wash", 1).Number, "found", 60)
			tb.Finish(tb.Begin(0, tb.Issue(0, "wash"), "wash", 1).Number, "found", 60)
			return tb.Begin(0, token, "wash", 1)
		}, ticket.VerdictForgotten},
		{"answer too large to keep", func(tb *ticket.Table[string], token string) ticket.Verdict[string] {
			tb.Finish(tb.Begin(0, token, "wash", 1).Number, "found", 101)
			return tb.Begin(0, token, "wash", 1)
		}, ticket.VerdictForgotten},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable("vm1", 1)
			vd := tc.run(tb, tb.Issue(0, "wash"))
			is.Equal(vd.Kind, tc.want)
			if vd.Kind == ticket.VerdictAnswered {
				is.Equal(vd.Answer, "found")
			}
			if vd.Kind == ticket.VerdictElsewhere {
				is.Equal(vd.Issuer, ticket.Issuer{Addr: "vm1", Incarnation: 1})
			}
			is.True(tb.Len() <= 8)
			is.True(tb.Bytes() <= 100)
		})
	}
}

// Tickets are used in another order than they were issued: each must be removed at its own expiry
// and not earlier, or it could run again.
func TestExpiryOutOfOrder(t *testing.T) {
	is := is.New(t)
	tb := newTable("vm1", 1)
	first := tb.Issue(0, "wash")
	second := tb.Issue(30*time.Second, "wash")
	tb.Begin(31*time.Second, second, "wash", 1)
	tb.Begin(32*time.Second, first, "wash", 1)
	is.Equal(tb.Begin(61*time.Second, first, "wash", 1).Kind, ticket.VerdictExpired)
	is.Equal(tb.Len(), 1)
	is.Equal(tb.Begin(61*time.Second, second, "wash", 1).Kind, ticket.VerdictWait)
	is.Equal(tb.Begin(91*time.Second, second, "wash", 1).Kind, ticket.VerdictExpired)
	is.Equal(tb.Len(), 0)
}

func BenchmarkIssueAndUse(b *testing.B) {
	tb := ticket.New[string](ticket.Config{Addr: "10.0.0.1:7003", Incarnation: 1, Secret: []byte("s"), TTL: time.Second, Cap: 100_000})
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		vd := tb.Begin(now, tb.Issue(now, "wash"), "wash", 1)
		if vd.Kind == ticket.VerdictRun {
			tb.Finish(vd.Number, "found", 5)
		}
	}
}
