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

// Limits that apply if Config does not set them.
const (
	DefaultTimeout  = 10 * time.Second
	DefaultMaxReply = 64 << 20

	maxIdlePerHost = 8
	idleTimeout    = 30 * time.Second
)

// Config configures a Caller or an Operator.
type Config struct {
	// URL is the address of the VM's listener, such as http://10.1.2.3:8080.
	URL string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// Timeout limits each call, including the opening of a connection; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxReply limits the body of a reply, in bytes; 0 means DefaultMaxReply.
	MaxReply int64
	// Transport replaces the default transport if it is not nil. It must not resend requests.
	Transport http.RoundTripper
}

// conn is the client of one listener of a VM, which Caller and Operator share.
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

// call describes one request.
type call struct {
	op     string
	method string
	// path is already escaped.
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// hasEffect is set if the request can have an effect, so that its result is unknown if the
	// reply is lost.
	hasEffect bool
}

// reply is a reply whose body has been read completely.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request once and reads the complete reply.
func (cn *conn) do(ctx context.Context, cl call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, cn.timeout)
	defer cancel()

	// A request that got no connection cannot have had an effect. After that nothing is certain:
	// the kernel may have sent whatever was written to the connection.
	var sent atomic.Bool
	trc := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := cn.request(httptrace.WithClientTrace(ctx, trc), cl)
	if err != nil {
		return reply{}, err
	}
	res, err := cn.http.Do(req)
	if err != nil {
		return reply{}, cl.noReplyError(sent.Load(), err)
	}
	defer func() { _ = res.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(res.Body, cn.maxReply+1))
	if err != nil {
		return reply{}, cl.noReplyError(true, err)
	}
	if int64(len(body)) > cn.maxReply {
		return reply{}, cl.replyError(res.StatusCode, errors.Errorf("the reply is longer than %d bytes", cn.maxReply))
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

// noReplyError returns the error of a call that got no complete reply.
func (cl call) noReplyError(sent bool, err error) error {
	kind := KindUnreachable
	if sent {
		kind = KindFailed
	}
	if sent && cl.hasEffect {
		kind = KindUnknown
	}
	return &Error{Op: cl.op, Kind: kind, Msg: "no reply", Err: err}
}

// replyError returns the error of a reply that cannot be understood.
func (cl call) replyError(status int, err error) error {
	kind := KindReply
	if cl.effectUnknown(status) {
		kind = KindUnknown
	}
	return &Error{Op: cl.op, Kind: kind, Status: status, Msg: "the reply cannot be read", Err: err}
}

// refusalError returns the error that a reply reports.
func (cl call) refusalError(rep reply) error {
	var er wire.ErrorReply
	if err := json.Unmarshal(rep.body, &er); err != nil || er.Error == "" {
		return cl.refusalWithoutBody(rep)
	}
	return &Error{
		Op: cl.op, Kind: kindOfStatus(rep.status), Status: rep.status,
		Reason: er.Reason, Path: er.Path, Msg: er.Error,
	}
}

// effectUnknown reports whether a reply without a body of the VM leaves open whether the request
// had an effect. An intermediary may have written the reply after it passed the request on; only
// a 4xx status shows that the request was refused.
func (cl call) effectUnknown(status int) bool {
	return cl.hasEffect && (status < 400 || status >= 500)
}

// refusalWithoutBody returns the error of a reply that does not have the VM's usual error body.
func (cl call) refusalWithoutBody(rep reply) error {
	kind := kindOfStatus(rep.status)
	if cl.effectUnknown(rep.status) {
		kind = KindUnknown
	}
	return &Error{Op: cl.op, Kind: kind, Status: rep.status, Msg: "a reply without the usual error body"}
}

// doJSON sends a request and decodes its JSON reply; any status but 200 is an error.
func (cn *conn) doJSON(ctx context.Context, cl call, into any) error {
	rep, err := cn.do(ctx, cl)
	if err != nil {
		return err
	}
	if rep.status != http.StatusOK {
		return cl.refusalError(rep)
	}
	if err := json.Unmarshal(rep.body, into); err != nil {
		return cl.replyError(rep.status, err)
	}
	return nil
}

// pathOf replaces the single parameter of a route by an escaped value.
func pathOf(route, param, val string) string {
	return strings.Replace(route, ":"+param, url.PathEscape(val), 1)
}
