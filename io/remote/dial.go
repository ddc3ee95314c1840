package remote

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"laburnumvane/core/probe"
	"laburnumvane/io/inner"
)

const (
	// abandonedDialTimeout limits a connection attempt that is no longer waited for.
	abandonedDialTimeout = time.Second
	// minGrace is how long after its limit an attempt is checked again, in addition to the time by
	// which this VM's own timer was late: if it was stopped for lack of processor time, a connection
	// or an answer may have arrived meanwhile. maxGrace limits both.
	minGrace = 5 * time.Millisecond
	maxGrace = 100 * time.Millisecond
	// unackedTimeout is how long written bytes may stay unacknowledged, as in io/relay.
	unackedTimeout = 2 * time.Second
)

// errNoConnection: no connection was opened in time.
var errNoConnection = errors.New("no connection within the limit")

// dial opens a connection for a request. Nothing is sent before it is open.
func (cl *Client) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	began := cl.cfg.Clock()
	cn, err := dialWithin(ctx, addr, cl.peers.ConnectLimit(addr))
	now := cl.cfg.Clock()
	if ctx.Err() == nil {
		cl.peers.Connect(now, addr, dialOutcome(err), now-began)
		cl.watch()
	}
	return cn, err
}

// dialOutcome classifies the error of an attempt to open a connection.
func dialOutcome(err error) probe.Outcome {
	switch {
	case err == nil:
		return probe.Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return probe.Refused
	}
	return probe.Unreachable
}

// dialWithin opens a connection within limit, which begins when the socket exists: on a busy VM the
// goroutine that opens it may start late.
func dialWithin(ctx context.Context, addr string, limit time.Duration) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonedDialTimeout)
	defer cancel()
	opened, began := make(chan dialled, 1), make(chan struct{}, 1)
	go func() {
		di := net.Dialer{Control: func(network, address string, rc syscall.RawConn) error {
			select {
			case began <- struct{}{}:
			default:
			}
			return setUserTimeout(network, address, rc)
		}}
		cn, err := di.DialContext(dialCtx, "tcp", addr)
		opened <- dialled{cn, err}
	}()
	select {
	case <-began:
	case rs := <-opened:
		return rs.cn, rs.err
	}
	due := time.Now().Add(limit)
	rs, ok := awaitDial(ctx, opened, limit)
	if !ok && ctx.Err() == nil {
		rs, ok = awaitDial(ctx, opened, grace(time.Since(due)))
	}
	if ok {
		return rs.cn, rs.err
	}
	go func() {
		if rs := <-opened; rs.cn != nil {
			_ = rs.cn.Close()
		}
	}()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, errNoConnection
}

// dialled is the result of opening a connection.
type dialled struct {
	cn  net.Conn
	err error
}

// awaitDial waits for the result; ok is false if there is none in time.
func awaitDial(ctx context.Context, opened <-chan dialled, wait time.Duration) (rs dialled, ok bool) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case rs = <-opened:
		return rs, true
	case <-ctx.Done():
	case <-tm.C:
	}
	return dialled{}, false
}

// grace returns how long to wait for what may have arrived while this VM was stopped, if its timer
// was late by the given time.
func grace(late time.Duration) time.Duration { return min(minGrace+max(0, late), maxGrace) }

// setUserTimeout sets TCP_USER_TIMEOUT, which ends a connection whose written bytes are not
// acknowledged.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Probe opens a connection to a VM within connect, and waits for an answer of its process for
// reply. The connection is its own: existing ones may be what no longer works.
func (cl *Client) Probe(addr string, connect, reply time.Duration) probe.Outcome {
	cn, err := dialWithin(context.Background(), addr, connect)
	if err != nil {
		return dialOutcome(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reply)
	defer cancel()
	tr := &http.Transport{
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return cn, nil },
		DisableKeepAlives: true,
	}
	defer tr.CloseIdleConnections()
	if _, err := inner.NewHomeProtobufClient("http://"+addr, &http.Client{Transport: tr}).Carry(ctx, &inner.CarryRequest{}); err != nil {
		_ = cn.Close()
		return probe.Frozen
	}
	return probe.Alive
}

// Alive probes a VM and reports whether it responds within wait.
func (cl *Client) Alive(addr string, wait time.Duration) bool {
	return cl.Probe(addr, wait, wait) == probe.Alive
}
