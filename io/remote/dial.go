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
	// lateGrace is how long after its limit an attempt is checked again: if this VM was stopped
	// for lack of processor time, a connection may have been opened meanwhile.
	lateGrace = 5 * time.Millisecond
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

// dialWithin opens a connection within limit.
func dialWithin(ctx context.Context, addr string, limit time.Duration) (net.Conn, error) {
	type result struct {
		cn  net.Conn
		err error
	}
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonedDialTimeout)
	opened := make(chan result, 1)
	go func() {
		di := net.Dialer{Control: setUserTimeout}
		cn, err := di.DialContext(dialCtx, "tcp", addr)
		opened <- result{cn, err}
	}()
	for _, wait := range [...]time.Duration{limit, lateGrace} {
		tm := time.NewTimer(wait)
		select {
		case rs := <-opened:
			tm.Stop()
			cancel()
			return rs.cn, rs.err
		case <-ctx.Done():
		case <-tm.C:
		}
		tm.Stop()
	}
	cancel()
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
