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

// call is one exchange with the service.
type call struct {
	op     string
	method string
	path   string
	body   []byte
	// wait is what the service may take beside the timeout.
	wait time.Duration
	// effect is set if the call changes what the service holds.
	effect bool
}

func (cl *Client) post(ctx context.Context, ca call, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Op: ca.op, Kind: KindDecode, Err: err}
	}
	ca.method, ca.body = http.MethodPost, body
	return cl.run(ctx, ca, out)
}

// run tries one address after the other while none could even be asked. After
// that it is for the caller to decide: a second address may hold the effect of
// the first attempt.
func (cl *Client) run(ctx context.Context, ca call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cl.cfg.Timeout+ca.wait)
	defer cancel()
	for tries := 1; ; tries++ {
		from := cl.next.Load()
		asked, err := cl.once(ctx, ca, int(from)%len(cl.cfg.Addrs), out)
		if err == nil {
			return nil
		}
		// Of several calls that fail together, one moves on.
		cl.next.CompareAndSwap(from, from+1)
		if asked || tries >= len(cl.cfg.Addrs) || ctx.Err() != nil {
			return err
		}
	}
}

// once makes the call at one address; asked tells whether it had a connection.
func (cl *Client) once(ctx context.Context, ca call, addr int, out any) (asked bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { asked = true }}
	rq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), ca.method,
		"http://"+cl.cfg.Addrs[addr]+ca.path, bytes.NewReader(ca.body))
	if err != nil {
		return false, &Error{Op: ca.op, Kind: KindUnreachable, Err: err}
	}
	// Without GetBody the standard client cannot send a request a second
	// time by itself: a swap that was lost would otherwise run twice.
	rq.GetBody = nil
	rq.Header.Set("Content-Type", "application/json")
	rs, err := cl.http.Do(rq)
	if err != nil {
		if kindOf(err) == KindTimeout {
			// The other idle connections may be as silent as this one was;
			// each would cost a call its whole timeout.
			cl.http.CloseIdleConnections()
		}
		return asked, &Error{Op: ca.op, Kind: kindOf(err), Doubtful: asked && ca.effect, Err: err}
	}
	defer rs.Body.Close()
	if err := cl.read(rs, out); err != nil {
		err.Op = ca.op
		// A status of the 400s is the service's word that it did not do it.
		err.Doubtful = ca.effect && !isRefusal(rs.StatusCode)
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
