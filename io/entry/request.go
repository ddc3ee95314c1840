package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/acct"
	"laburnumvane/core/poison"
	"laburnumvane/io/guard"
	"laburnumvane/io/wire"
)

// field is one header field.
type field struct {
	name, value string
}

// request is a client's request, copied out of buffers that the HTTP library reuses.
type request struct {
	id     string
	method string
	// uri is the path with its query, as received.
	uri  string
	path string
	host string
	// fields are the headers that are passed on to the server.
	fields []field
	body   []byte
	framed bool
	// timeout is how long the client will wait; 0 if it did not say.
	timeout time.Duration
	began   time.Duration
	// transitTime is how long the client waits outside this VM, before the request arrived and
	// after the response was sent.
	transitTime time.Duration
	// account is the client account of the request; nil if it has none.
	account *acct.Account
	// forwarded is set if another VM forwarded the request.
	forwarded bool
	// suspect is set if servers crashed under this request before.
	suspect bool
	// cachedFingerprint is computed on the first call of fingerprint.
	cachedFingerprint poison.Fingerprint
	fingerprintOnce   sync.Once
}

// fingerprint returns the same value for each arrival of the same request. It is computed on
// demand, since most requests never need it.
func (rq *request) fingerprint() poison.Fingerprint {
	rq.fingerprintOnce.Do(func() {
		same := poison.Request{Method: rq.method, Host: rq.host, URI: rq.uri, Body: rq.body}
		for _, fi := range rq.fields {
			same.Fields = append(same.Fields, poison.Field{Name: fi.name, Value: fi.value})
		}
		rq.cachedFingerprint = poison.FingerprintOf(same)
	})
	return rq.cachedFingerprint
}

// refusal is a response to a request that is not sent to servers.
type refusal struct {
	status int
	wire.ErrorReply
}

func refuse(status int, reason, text string) *refusal {
	return &refusal{status: status, ErrorReply: wire.ErrorReply{Error: text, Reason: reason}}
}

// hopFields are hop-by-hop headers, and those that this VM sets itself.
var hopFields = []string{ //nolint:gochecknoglobals // a constant list
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length", "Host",
}

func isHopByHop(name string) bool {
	for _, hop := range hopFields {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// read copies a request and makes the checks that the HTTP library does not.
func (en *Entry) read(rc *app.RequestContext, now time.Duration) (*request, *refusal) {
	rq := &request{
		method: string(rc.Method()),
		uri:    string(rc.Request.Header.RequestURI()),
		began:  now,
	}
	var fr guard.Framing
	var listed []string
	ok := guard.EachField(rc.Request.Header.RawHeaders(), func(name, value string) {
		fr.AddField(name, value)
		switch {
		case strings.EqualFold(name, "Connection"):
			listed = append(listed, strings.Split(value, ",")...)
		case strings.EqualFold(name, en.cfg.Names.RequestID):
			rq.id = value
		case strings.EqualFold(name, en.cfg.Names.Deadline):
			rq.timeout = parseTimeout(value)
		case strings.EqualFold(name, en.cfg.Names.Target), isHopByHop(name):
		default:
			rq.fields = append(rq.fields, field{name: name, value: value})
		}
	})
	if !ok {
		return rq, refuse(consts.StatusBadRequest, guard.ReasonBadRequest, guard.TextBadField)
	}
	if text := fr.Check(rc.Request.Header.IsHTTP11()); text != "" {
		return rq, refuse(consts.StatusBadRequest, guard.ReasonBadRequest, text)
	}
	rq.fields = removeListed(rq.fields, listed)
	rq.host, rq.framed = fr.Host, fr.HasBody()
	rq.body = append([]byte(nil), rc.Request.Body()...)
	rq.path, _, _ = strings.Cut(rq.uri, "?")
	return rq, en.checkRequest(rc, rq)
}

// checkRequest checks a request against the limits in force.
func (en *Entry) checkRequest(rc *app.RequestContext, rq *request) *refusal {
	if rq.host == "" {
		return refuse(consts.StatusBadRequest, guard.ReasonBadRequest, "the request has no host")
	}
	if !strings.HasPrefix(rq.path, "/") {
		return refuse(consts.StatusBadRequest, guard.ReasonBadRequest, "the request has no path")
	}
	if rq.id == "" {
		return refuse(consts.StatusBadRequest, reasonNoID, "the request has no id")
	}
	tb := en.cfg.View().Routes()
	if tb == nil {
		return nil
	}
	li := tb.Limits()
	if li.HeaderBytes > 0 && len(rc.Request.Header.RawHeaders()) > li.HeaderBytes {
		return refuse(consts.StatusRequestHeaderFieldsTooLarge, guard.ReasonHeaders, "the request's headers are too large")
	}
	if li.BodyBytes > 0 && len(rq.body) > li.BodyBytes {
		return refuse(consts.StatusRequestEntityTooLarge, guard.ReasonTooLarge, "the request's body is too large")
	}
	return nil
}

func removeListed(fields []field, listed []string) []field {
	if len(listed) == 0 {
		return fields
	}
	kept := fields[:0]
	for _, fi := range fields {
		drop := false
		for _, name := range listed {
			drop = drop || strings.EqualFold(strings.TrimSpace(name), fi.name)
		}
		if !drop {
			kept = append(kept, fi)
		}
	}
	return kept
}

func parseTimeout(value string) time.Duration {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || ms <= 0 || ms > float64(maxClientTimeout.Milliseconds()) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// maxClientTimeout is the longest timeout that a client may ask for; longer ones are ignored.
const maxClientTimeout = time.Hour
