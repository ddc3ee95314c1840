package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"
)

// call is one request to the service.
type call struct {
	op     string
	method string
	path   string
	body   []byte
	// extraTime is added to the timeout.
	extraTime time.Duration
	// modifies is set if the call changes data of the service.
	modifies bool
}

func (cl *Client) post(ctx context.Context, ca call, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Op: ca.op, Kind: KindDecode, Err: err}
	}
	ca.method, ca.body = http.MethodPost, body
	return cl.callAny(ctx, ca, out)
}

// callAny tries one address after the other until it gets a connection. A call that fails on a
// connection is not tried at the next address, since it may have taken effect; the caller has to
// decide.
func (cl *Client) callAny(ctx context.Context, ca call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cl.cfg.Timeout+ca.extraTime)
	defer cancel()
	for tries := 1; ; tries++ {
		from := cl.nextAddr.Load()
		connected, err := cl.callAddr(ctx, ca, int(from)%len(cl.cfg.Addrs), out)
		if err == nil {
			return nil
		}
		// If several calls fail concurrently, only one advances the address.
		cl.nextAddr.CompareAndSwap(from, from+1)
		if connected || tries >= len(cl.cfg.Addrs) || ctx.Err() != nil {
			return err
		}
	}
}

// callAddr makes the call at one address. Connected reports whether it got a connection.
func (cl *Client) callAddr(ctx context.Context, ca call, addr int, out any) (connected bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	rq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), ca.method,
		"http://"+cl.cfg.Addrs[addr]+ca.path, bytes.NewReader(ca.body))
	if err != nil {
		return false, &Error{Op: ca.op, Kind: KindUnreachable, Err: err}
	}
	// Without GetBody net/http cannot resend the request on its own; a swap whose reply was lost
	// could otherwise run twice.
	rq.GetBody = nil
	rq.Header.Set("Content-Type", "application/json")
	rs, err := cl.http.Do(rq)
	if err != nil {
		if kindOf(err) == KindTimeout {
			// The other idle connections may be silent too, and each of them would cost a call its
			// whole timeout.
			cl.http.CloseIdleConnections()
		}
		return connected, &Error{Op: ca.op, Kind: kindOf(err), MayHaveApplied: connected && ca.modifies, Err: err}
	}
	defer rs.Body.Close()
	if err := cl.read(rs, out); err != nil {
		err.Op = ca.op
		// With a 4xx status the service says that it has not performed the call.
		err.MayHaveApplied = ca.modifies && !isRefusal(rs.StatusCode)
		return true, err
	}
	return true, nil
}

func isRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

func (cl *Client) read(rs *http.Response, out any) *Error {
	if rs.StatusCode != http.StatusOK {
		return &Error{Kind: KindStatus, Err: errors.Errorf("status %d", rs.StatusCode)}
	}
	raw, err := io.ReadAll(io.LimitReader(rs.Body, cl.cfg.MaxReply+1))
	switch {
	case err != nil:
		return &Error{Kind: kindOf(err), Err: err}
	case int64(len(raw)) > cl.cfg.MaxReply:
		return &Error{Kind: KindTooLarge, Err: errors.Errorf("the reply is longer than %d bytes", cl.cfg.MaxReply)}
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return &Error{Kind: KindDecode, Err: err}
	}
	return nil
}

func kindOf(err error) Kind {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return KindTimeout
	}
	return KindUnreachable
}
