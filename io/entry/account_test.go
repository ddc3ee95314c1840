package entry

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/acct"
	"laburnumvane/core/fanout"
	"laburnumvane/core/gauge"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/poison"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/warmup"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
)

// accountRelay records what is sent to servers.
type accountRelay struct {
	requests []relay.Request
	panics   bool
}

func (ar *accountRelay) Send(_ *origin.Upstream, rq relay.Request) *relay.Call {
	if ar.panics {
		panic("cannot send " + string(rq.Message()))
	}
	ar.requests = append(ar.requests, rq)
	return &relay.Call{}
}

func (*accountRelay) SetWindow(*origin.Upstream, int) {}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (lb *lockedBuffer) Write(p []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.text.Write(p)
}

func (lb *lockedBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.text.String()
}

const accountHeader = "Account"

// newAccountEntry returns an entry whose configuration has an urgent account, one without a priority, and
// a route. It sends to the relay.
func newAccountEntry(t *testing.T, re Relay, lines io.Writer) *Entry {
	t.Helper()
	is := is.New(t)
	accounts, err := acct.New(acct.Config{Accounts: []acct.Account{
		{Name: "urgent", HasPriority: true, Keys: []string{"key-1", "key-2"}}, {Name: "usual", Keys: []string{"key-3"}},
	}})
	is.NoErr(err)
	vw := plan.New(plan.Config{
		Self: rank.VM{Addr: "127.0.0.1:1", DataCentre: "east"},
		Routes: route.New(route.Config{Accounts: accounts, Routes: []route.Route{{
			Name: "one", Host: "h", Prefix: "/", Priority: 4, Idempotent: true, MaxAttempts: 2,
			Timeout: time.Second, Target: time.Second, Split: []route.Share{{Service: "s", Weight: 1}},
		}}}),
		Upstreams: origin.New([]*origin.Upstream{{ID: "i-1", Service: "s", Addr: "127.0.0.1:2", DataCentre: "east", Slots: 4}}),
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	began := time.Now()
	return New(Config{
		Listener: ln, DataCentre: "east", Names: HeaderNames{RequestID: "Id", Account: accountHeader},
		Clock: func() time.Duration { return time.Since(began) }, View: func() *plan.View { return vw },
		Relay: re, Steer: steer.New(steer.Config{DataCentre: "east"}), WarmUp: warmup.New(), Poison: poison.New(),
		CopyAge: func() time.Duration { return 0 }, Keys: acct.Policy{StaleAfter: time.Second},
		Meter: meter.New(), Log: &log.Logger{Writer: &log.IOWriter{Writer: lines}}, Gauge: gauge.New(gauge.Config{}),
	})
}

// authenticated returns a request with a key, after it was authenticated.
func authenticated(t *testing.T, en *Entry, key string) *request {
	t.Helper()
	rq := &request{id: "x", method: "GET", uri: "/", host: "h", fields: []field{{accountHeader, "claimed"}, {"User-Agent", "u"}}}
	if key != "" {
		rq.fields = append(rq.fields, field{headerAuthorization, "Bearer " + key})
	}
	tb := en.cfg.View().Routes()
	rt := *tb.Routes()[0]
	rt.Public = key == ""
	is.New(t).Equal(en.authenticate(tb, &rt, rq), nil)
	return rq
}

// An account changes its key and repeats a request under which servers crash: it must still be known. The
// same request of another account must not be blocked with it, and one without an account must have the
// fingerprint that it has in builds without accounts.
func TestFingerprintsOfAccounts(t *testing.T) {
	is := is.New(t)
	en := newAccountEntry(t, &accountRelay{}, io.Discard)
	fingerprint := func(key string) poison.Fingerprint { return authenticated(t, en, key).fingerprint() }
	is.Equal(fingerprint("key-1"), fingerprint("key-2"))
	is.True(fingerprint("key-1") != fingerprint("key-3"))
	is.True(fingerprint("key-1") != fingerprint(""))
	is.Equal(fingerprint(""), poison.FingerprintOf(poison.Request{
		Method: "GET", Host: "h", URI: "/", Fields: []poison.Field{{Name: "User-Agent", Value: "u"}},
	}))
	rq := authenticated(t, en, "key-1")
	forwarded := en.forwardedRequest(en.carryRequest(rq, en.cfg.View().Routes().Routes()[0], 0), 0, 0)
	is.Equal(forwarded.fingerprint(), rq.fingerprint()) // also in an older build, which takes the fields as they are
}

// The requests of an urgent account must not wait behind those of others because of their route.
func TestAccountPriority(t *testing.T) {
	for _, tc := range []struct {
		key             string
		priority, level int
	}{{"key-1", 0, 0}, {"key-3", 4, 1}, {"", 4, 1}} {
		is := is.New(t)
		re := &accountRelay{}
		en := newAccountEntry(t, re, io.Discard)
		rq, vw := authenticated(t, en, tc.key), en.cfg.View()
		rt := vw.Routes().Routes()[0]
		is.Equal(en.admitLevel(vw.Routes(), rq.priority(rt)), tc.level)
		fl := en.newFlight(rq, rt, vw)
		fl.perform([]fanout.Action{{Kind: fanout.ActSend, Upstream: vw.Candidates("s")[0]}})
		is.Equal(re.requests[0].Priority, tc.priority)
	}
}

// A handler panics, and what it panicked with and the stack are logged. Neither may contain the key.
func TestPanicDoesNotShowKey(t *testing.T) {
	is := is.New(t)
	hlog.SetLevel(hlog.LevelFatal)
	const key = "key-1"
	lines := &lockedBuffer{}
	en := newAccountEntry(t, &accountRelay{panics: true}, lines)
	go func() { _ = en.Serve() }()
	rq, err := http.NewRequest(http.MethodGet, "http://"+en.cfg.Listener.Addr().String()+"/", nil)
	is.NoErr(err)
	rq.Host = "h"
	rq.Header.Set("Id", "x")
	rq.Header.Set(headerAuthorization, "Bearer "+key)
	rs, err := http.DefaultClient.Do(rq)
	is.NoErr(err)
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	is.NoErr(err)
	is.Equal(rs.StatusCode, http.StatusInternalServerError)
	is.True(strings.Contains(lines.String(), "cannot send GET"))
	is.True(strings.Contains(lines.String(), "urgent"))
	is.True(!strings.Contains(lines.String()+string(body), key))
}
