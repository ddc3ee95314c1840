package upst_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumvane/io/emul"
	"laburnumvane/io/upst"
)

// afterPing lets a connection answer its first ping and little more.
const afterPing = 220

// The caller of a search gets "silent, may have run" long before its deadline.
// Its connection swallows the reply; others that begin later are answered on
// new connections, which tells a forgotten connection from a slow server.
func TestSilentUnderTraffic(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 3})
	ri.up.SetFaults(emul.UpstreamFaults{SilentAfter: afterPing})
	lost := ri.begin("lost", patience)
	ri.until("the lost request runs", func() bool { return ri.up.Runs() == 1 })
	ri.up.SetFaults(emul.UpstreamFaults{})
	ri.fc.advance(6 * time.Second)
	for i := range 3 {
		ri.is.NoErr(ri.search(fmt.Sprint(i), patience))
	}
	ri.sv.Tick(false)
	failure(ri.is, <-lost, upst.KindSilent, true)
	ri.is.Equal(ri.sv.Open(), 1)
}

// The same on a quiet server: nothing else is under way that could overtake, so
// Tick pings over other connections until the evidence is enough; also where the
// one in doubt is the only one allowed.
func TestSilentOnQuietServer(t *testing.T) {
	for _, limit := range []int{1, 3} {
		t.Run(fmt.Sprint("connections=", limit), func(t *testing.T) {
			ri := newRig(t, emul.UpstreamConfig{}, upst.Config{MaxConns: limit})
			ri.up.SetFaults(emul.UpstreamFaults{SilentAfter: afterPing})
			lost := ri.begin("lost", patience)
			ri.until("the lost request runs", func() bool { return ri.up.Runs() == 1 })
			ri.up.SetFaults(emul.UpstreamFaults{})
			ri.fc.advance(6 * time.Second)
			var err error
			ri.until("the loss is found", func() bool {
				ri.sv.Tick(false)
				select {
				case err = <-lost:
					return true
				default:
					return false
				}
			})
			failure(ri.is, err, upst.KindSilent, true)
			ri.is.Equal(ri.up.Runs(), uint64(1))
			ri.is.NoErr(ri.search("next", patience))
			ri.is.True(ri.sv.Open() <= limit)
		})
	}
}

// The server accepts, pings, and then answers nothing to anybody. No connection
// is given up before its deadline, since nobody is answered; after it each one
// is closed, and the pool does not stay full of dead ones.
func TestMuteServer(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2})
	ri.is.NoErr(ri.search("first", patience))
	ri.up.SetFaults(emul.UpstreamFaults{Mute: true})
	failure(ri.is, ri.search("mute", 50*time.Millisecond), upst.KindTimeout, true)
	ri.is.Equal(ri.sv.Open(), 1) // the reply may still come
	ri.fc.advance(2 * time.Second)
	ri.sv.Tick(false)
	ri.until("the connection is closed", func() bool { return ri.sv.Open() == 0 })
	ri.up.SetFaults(emul.UpstreamFaults{})
	ri.is.NoErr(ri.search("again", patience))
}

// The caller gets its answer although the only idle connection has gone silent
// since its last use: a request that must not be repeated never goes out on a
// connection that nobody has heard from, and runs once.
func TestSilentWhileIdle(t *testing.T) {
	cases := []struct {
		name string
		idle time.Duration
		once bool
	}{
		{"must not be repeated, after two seconds", 2 * time.Second, true},
		{"repeatable, after twenty seconds", 20 * time.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ri := newRig(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2, PingTimeout: 30 * time.Millisecond})
			ri.is.NoErr(ri.search("first", patience))
			ri.up.Silence()
			ri.fc.advance(tc.idle)
			run := ri.search
			if tc.once {
				run = ri.searchOnce
			}
			ri.is.NoErr(run("second", patience))
			ri.is.Equal(ri.up.Runs(), uint64(2))
			ri.is.Equal(ri.sv.Open(), 1)
		})
	}
}

// The server crashes and comes back between two searches. The caller of the
// second sees nothing of it: the end of the old connection is noticed before
// the request goes out, where it would be lost and "unknown".
func TestServerRestartBetweenSearches(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2})
	ri.is.NoErr(ri.search("first", patience))
	ri.up.Crash()
	ri.is.NoErr(ri.up.Restart("serving"))
	ri.is.NoErr(ri.searchOnce("second", patience))
	ri.is.Equal(ri.up.Runs(), uint64(2))
}

// No search is under way while idle connections go silent: the pings of Tick
// find it, and Tick opens others, so that no caller ever meets them.
func TestSilentIdleReplaced(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2, DialTimeout: 200 * time.Millisecond})
	ri.is.True(ri.sv.Tick(true))
	ri.until("one is open", func() bool { return ri.sv.Open() == 1 })
	ri.up.Silence()
	ri.fc.advance(16 * time.Second)
	ri.sv.Tick(false)
	ri.until("the silent one is closed", func() bool { return ri.sv.Open() == 0 })
	ri.fc.advance(time.Second)
	ri.is.True(ri.sv.Tick(true))
	ri.until("another is open", func() bool { return ri.sv.Open() == 1 })
}
