package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/io/wire"
)

// Bounds that hold where Config leaves them open.
const (
	DefaultTimeout  = 10 * time.Second
	DefaultMaxReply = 64 << 20

	maxIdlePerHost = 8
	idleTimeout    = 30 * time.Second
)

// Config says where a VM listens and how long to wait for it.
type Config struct {
	// URL is the listener's address, such as http://10.1.2.3:8080.
	URL string
	// Token is sent as a bearer token where it is not empty.
	Token string
	// Timeout bounds each call, connecting included; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxReply bounds a reply's body in bytes; 0 means DefaultMaxReply.
	MaxReply int64
	// Transport replaces the package's own; it must not resend anything.
	Transport http.RoundTripper
}

// conn is what Caller and Operator share: one listener of one VM.
type conn struct {
	base     *url.URL
	token    string
	timeout  time.Duration
	maxReply int64
	http     *http.Client
}

func newConn(op string, cfg Config) (*conn, error) {
	base, err := url.Parse(cfg.URL)
	if err != nil || (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, &Error{Op: op, Kind: KindConfig, Msg: "the URL needs a scheme (http or https) and a host, as in http://10.1.2.3:8080, not " + cfg.URL}
	}
	if cfg.Timeout < 0 || cfg.MaxReply < 0 {
		return nil, &Error{Op: op, Kind: KindConfig, Msg: "timeout and reply size must not be negative"}
	}
	cn := &conn{base: base, token: cfg.Token, timeout: cfg.Timeout, maxReply: cfg.MaxReply}
	if cn.timeout == 0 {
		cn.timeout = DefaultTimeout
	}
	if cn.maxReply == 0 {
		cn.maxReply = DefaultMaxReply
	}
	rt := cfg.Transport
	if rt == nil {
		rt = newTransport()
	}
	cn.http = &http.Client{Transport: rt, CheckRedirect: refuseRedirect}
	return cn, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// call is one request and what is known about it.
type call struct {
	op     string
	method string
	// path is escaped already.
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// effect is set where a lost reply leaves something in doubt.
	effect bool
}

// reply is a reply read to its end.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends a call once and reads the reply whole.
func (cn *conn) do(ctx context.Context, cl call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, cn.timeout)
	defer cancel()

	// A request that never got a connection cannot have had an effect. Anything
	// later is in doubt: the kernel may have sent what it was given.
	var sent atomic.Bool
	trc := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := cn.request(httptrace.WithClientTrace(ctx, trc), cl)
	if err != nil {
		return reply{}, err
	}
	res, err := cn.http.Do(req)
	if err != nil {
		return reply{}, cl.lost(sent.Load(), err)
	}
	defer func() { _ = res.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(res.Body, cn.maxReply+1))
	if err != nil {
		return reply{}, cl.lost(true, err)
	}
	if int64(len(body)) > cn.maxReply {
		return reply{}, cl.unreadable(res.StatusCode, errors.Errorf("the reply is longer than %d bytes", cn.maxReply))
	}
	return reply{status: res.StatusCode, header: res.Header, body: body}, nil
}

func (cn *conn) request(ctx context.Context, cl call) (*http.Request, error) {
	target := *cn.base
	target.RawQuery = cl.query.Encode()
	ref := strings.TrimSuffix(target.EscapedPath(), "/") + cl.path
	path, err := url.PathUnescape(ref)
	if err != nil {
		return nil, &Error{Op: cl.op, Kind: KindConfig, Err: err}
	}
	target.Path, target.RawPath = path, ref

	req, err := http.NewRequestWithContext(ctx, cl.method, target.String(), bytes.NewReader(cl.body))
	if err != nil {
		return nil, &Error{Op: cl.op, Kind: KindConfig, Err: err}
	}
	for name, vals := range cl.header {
		req.Header[name] = vals
	}
	if cl.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if cn.token != "" {
		req.Header.Set("Authorization", "Bearer "+cn.token)
	}
	return req, nil
}

// lost is the error of a call that got no whole reply.
func (cl call) lost(sent bool, err error) error {
	kind := KindUnreachable
	if sent {
		kind = KindFailed
	}
	if sent && cl.effect {
		kind = KindUnknown
	}
	return &Error{Op: cl.op, Kind: kind, Msg: "no reply", Err: err}
}

// unreadable is the error of a reply that makes no sense.
func (cl call) unreadable(status int, err error) error {
	kind := KindReply
	if cl.inDoubt(status) {
		kind = KindUnknown
	}
	return &Error{Op: cl.op, Kind: kind, Status: status, Msg: "the reply cannot be read", Err: err}
}

// refusal is the error of a reply that reports one.
func (cl call) refusal(rep reply) error {
	var er wire.ErrorReply
	if err := json.Unmarshal(rep.body, &er); err != nil || er.Error == "" {
		return cl.plainRefusal(rep)
	}
	return &Error{
		Op: cl.op, Kind: kindOfStatus(rep.status), Status: rep.status,
		Reason: er.Reason, Path: er.Path, Msg: er.Error,
	}
}

// inDoubt tells whether a reply without a body from the VM leaves open what the
// request did. Something between here and the VM may have written it, after
// passing the request on; only a status of the 400s says that it was refused.
func (cl call) inDoubt(status int) bool {
	return cl.effect && (status < 400 || status >= 500)
}

// plainRefusal is the error of a reply without the VM's usual error body.
func (cl call) plainRefusal(rep reply) error {
	kind := kindOfStatus(rep.status)
	if cl.inDoubt(rep.status) {
		kind = KindUnknown
	}
	return &Error{Op: cl.op, Kind: kind, Status: rep.status, Msg: "a reply without the usual error body"}
}

// read does a call whose reply is good only with status 200.
func (cn *conn) read(ctx context.Context, cl call, into any) error {
	rep, err := cn.do(ctx, cl)
	if err != nil {
		return err
	}
	if rep.status != http.StatusOK {
		return cl.refusal(rep)
	}
	if err := json.Unmarshal(rep.body, into); err != nil {
		return cl.unreadable(rep.status, err)
	}
	return nil
}

// pathOf fills the one parameter of a route.
func pathOf(route, param, val string) string {
	return strings.Replace(route, ":"+param, url.PathEscape(val), 1)
}
