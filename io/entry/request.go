package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/poison"
	"laburnumvane/io/guard"
	"laburnumvane/io/wire"
)

// field is one header line.
type field struct {
	name, value string
}

// request is what a client asked for, copied from what the library recycles.
type request struct {
	id     string
	method string
	// uri is the path with its query, as it came.
	uri  string
	path string
	host string
	// fields are those that go on to the server.
	fields []field
	body   []byte
	framed bool
	// patience is how long the client will wait; 0 if it did not say.
	patience time.Duration
	began    time.Duration
	// away is how long the client waits outside this VM, before its request came and
	// after the answer left.
	away time.Duration
	// carried is set if another VM passed it on.
	carried bool
	// suspect is set if servers ended under it before.
	suspect bool
	// print is the fingerprint, once it was asked for.
	print poison.Fingerprint
	once  sync.Once
}

// fingerprint is the same for each arrival of the same request. It is made only where it
// is needed: for most requests nobody asks.
func (rq *request) fingerprint() poison.Fingerprint {
	rq.once.Do(func() {
		same := poison.Request{Method: rq.method, Host: rq.host, URI: rq.uri, Body: rq.body}
		for _, fi := range rq.fields {
			same.Fields = append(same.Fields, poison.Field{Name: fi.name, Value: fi.value})
		}
		rq.print = poison.Of(same)
	})
	return rq.print
}

// refusal is an answer to a request that is not passed on.
type refusal struct {
	status int
	wire.ErrorReply
}

func refuse(status int, reason, text string) *refusal {
	return &refusal{status: status, ErrorReply: wire.ErrorReply{Error: text, Reason: reason}}
}

// hopFields concern one connection only.
var hopFields = []string{ //nolint:gochecknoglobals // a constant list
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length", "Host",
}

func isHop(name string) bool {
	for _, hop := range hopFields {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// read copies a request and checks what the library lets pass.
func (en *Entry) read(rc *app.RequestContext, now time.Duration) (*request, *refusal) {
	rq := &request{
		method: string(rc.Method()),
		uri:    string(rc.Request.Header.RequestURI()),
		began:  now,
	}
	var fr guard.Framing
	var named []string
	ok := guard.Fields(rc.Request.Header.RawHeaders(), func(name, value string) {
		fr.Note(name, value)
		switch {
		case strings.EqualFold(name, "Connection"):
			named = append(named, strings.Split(value, ",")...)
		case strings.EqualFold(name, en.cfg.Names.RequestID):
			rq.id = value
		case strings.EqualFold(name, en.cfg.Names.Deadline):
			rq.patience = patience(value)
		case strings.EqualFold(name, en.cfg.Names.Target), isHop(name):
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
	rq.fields = without(rq.fields, named)
	rq.host, rq.framed = fr.Host, fr.Framed()
	rq.body = append([]byte(nil), rc.Request.Body()...)
	rq.path, _, _ = strings.Cut(rq.uri, "?")
	return rq, en.checkRequest(rc, rq)
}

// checkRequest holds a request against the limits in force.
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

func without(fields []field, named []string) []field {
	if len(named) == 0 {
		return fields
	}
	kept := fields[:0]
	for _, fi := range fields {
		drop := false
		for _, name := range named {
			drop = drop || strings.EqualFold(strings.TrimSpace(name), fi.name)
		}
		if !drop {
			kept = append(kept, fi)
		}
	}
	return kept
}

func patience(value string) time.Duration {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || ms <= 0 || ms > float64(maxPatience.Milliseconds()) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// maxPatience bounds what a client may ask for.
const maxPatience = time.Hour
