package upst_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumvane/io/emul"
	"laburnumvane/io/upst"
)

// silentAfterPing is a number of bytes after which a connection goes silent: enough to answer its
// first ping, but no further request.
const silentAfterPing = 220

// The connection of a search goes silent before the reply. Later searches are answered on new
// connections, which distinguishes a silent connection from a slow server. The caller gets an
// error of KindSilent with Sent long before its deadline.
func TestSilentUnderTraffic(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 3})
	fx.up.SetFaults(emul.UpstreamFaults{SilentAfter: silentAfterPing})
	lost := fx.searchAsync("lost", waitTimeout)
	fx.until("the lost request runs", func() bool { return fx.up.Runs() == 1 })
	fx.up.SetFaults(emul.UpstreamFaults{})
	fx.fc.advance(6 * time.Second)
	for i := range 3 {
		fx.is.NoErr(fx.search(fmt.Sprint(i), waitTimeout))
	}
	fx.sv.MaintainOnce(false)
	checkError(fx.is, <-lost, upst.KindSilent, true)
	fx.is.Equal(fx.sv.Open(), 1)
}

// A connection goes silent while there are no other searches whose answers could show it.
// MaintainOnce then pings over other connections until there is enough evidence, also if the
// silent one is the only one allowed.
func TestSilentOnQuietServer(t *testing.T) {
	for _, limit := range []int{1, 3} {
		t.Run(fmt.Sprint("connections=", limit), func(t *testing.T) {
			fx := newFixture(t, emul.UpstreamConfig{}, upst.Config{MaxConns: limit})
			fx.up.SetFaults(emul.UpstreamFaults{SilentAfter: silentAfterPing})
			lost := fx.searchAsync("lost", waitTimeout)
			fx.until("the lost request runs", func() bool { return fx.up.Runs() == 1 })
			fx.up.SetFaults(emul.UpstreamFaults{})
			fx.fc.advance(6 * time.Second)
			var err error
			fx.until("the silent connection is found", func() bool {
				fx.sv.MaintainOnce(false)
				select {
				case err = <-lost:
					return true
				default:
					return false
				}
			})
			checkError(fx.is, err, upst.KindSilent, true)
			fx.is.Equal(fx.up.Runs(), uint64(1))
			fx.is.NoErr(fx.search("next", waitTimeout))
			fx.is.True(fx.sv.Open() <= limit)
		})
	}
}

// The server accepts connections and answers pings, and then nothing at all. Since no request is
// answered, no connection counts as silent before its deadline. After it the connections are
// closed, so that the pool does not stay full of dead ones.
func TestMuteServer(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2})
	fx.is.NoErr(fx.search("first", waitTimeout))
	fx.up.SetFaults(emul.UpstreamFaults{Mute: true})
	checkError(fx.is, fx.search("mute", 50*time.Millisecond), upst.KindTimeout, true)
	fx.is.Equal(fx.sv.Open(), 1) // the reply may still come
	fx.fc.advance(2 * time.Second)
	fx.sv.MaintainOnce(false)
	fx.until("the connection is closed", func() bool { return fx.sv.Open() == 0 })
	fx.up.SetFaults(emul.UpstreamFaults{})
	fx.is.NoErr(fx.search("again", waitTimeout))
}

// The only idle connection has gone silent since its last use. The ping before the request detects
// that, so the search is answered on another connection and runs once.
func TestSilentWhileIdle(t *testing.T) {
	cases := []struct {
		name string
		idle time.Duration
		once bool
	}{
		{"SearchOnce after two seconds", 2 * time.Second, true},
		{"Search after twenty seconds", 20 * time.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2, PingTimeout: 30 * time.Millisecond})
			fx.is.NoErr(fx.search("first", waitTimeout))
			fx.up.Silence()
			fx.fc.advance(tc.idle)
			run := fx.search
			if tc.once {
				run = fx.searchOnce
			}
			fx.is.NoErr(run("second", waitTimeout))
			fx.is.Equal(fx.up.Runs(), uint64(2))
			fx.is.Equal(fx.sv.Open(), 1)
		})
	}
}

// The server crashes and restarts between two searches. The end of the old connection is detected
// before the second request is sent. Otherwise the request would be lost, and whether it ran would
// be unknown.
func TestServerRestartBetweenSearches(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2})
	fx.is.NoErr(fx.search("first", waitTimeout))
	fx.up.Crash()
	fx.is.NoErr(fx.up.Restart("serving"))
	fx.is.NoErr(fx.searchOnce("second", waitTimeout))
	fx.is.Equal(fx.up.Runs(), uint64(2))
}

// Idle connections go silent while no search runs. MaintainOnce's pings detect it, and MaintainOnce
// opens others, so that no search uses a silent one.
func TestSilentIdleReplaced(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2, DialTimeout: 200 * time.Millisecond})
	fx.is.True(fx.sv.MaintainOnce(true))
	fx.until("one is open", func() bool { return fx.sv.Open() == 1 })
	fx.up.Silence()
	fx.fc.advance(16 * time.Second)
	fx.sv.MaintainOnce(false)
	fx.until("the silent one is closed", func() bool { return fx.sv.Open() == 0 })
	fx.fc.advance(time.Second)
	fx.is.True(fx.sv.MaintainOnce(true))
	fx.until("another is open", func() bool { return fx.sv.Open() == 1 })
}
