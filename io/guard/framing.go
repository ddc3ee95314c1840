package guard

import (
	"bytes"
	"context"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/wire"
)

// TextBadField is the error of a header line that cannot be read.
const TextBadField = "a header line cannot be read"

// Framing checks the headers that determine where a request ends. Of two lengths the library uses
// the last, and it uses chunks even if there is also a length. An intermediary that chooses
// differently takes a part of the body for a second request, or the reverse (request smuggling).
// Such a request is refused and its connection closed, because the start of the next request is
// ambiguous.
type Framing struct {
	// Host is the value of the last Host line.
	Host string

	hosts, lengths, transferCodings int
	coding                          string
	badLength                       bool
}

// EachField calls visit for each line of a raw header. It returns false at the first line that is not
// a valid field.
func EachField(raw []byte, visit func(name, value string)) bool {
	for _, line := range bytes.Split(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return false
		}
		visit(string(name), string(bytes.Trim(value, " \t")))
	}
	return true
}

// AddField records one header field; fields that do not concern framing are ignored.
func (fr *Framing) AddField(name, value string) {
	switch {
	case strings.EqualFold(name, consts.HeaderHost):
		fr.hosts++
		fr.Host = value
	case strings.EqualFold(name, consts.HeaderContentLength):
		fr.lengths++
		_, err := strconv.ParseUint(value, 10, 63)
		fr.badLength = fr.badLength || err != nil
	case strings.EqualFold(name, consts.HeaderTransferEncoding):
		fr.transferCodings++
		fr.coding = value
	}
}

// HasBody reports whether the request declares a body, which may be empty.
func (fr *Framing) HasBody() bool { return fr.lengths > 0 || fr.transferCodings > 0 }

// Check returns what is wrong with the framing, or "" if it is unambiguous.
func (fr *Framing) Check(http11 bool) string {
	switch {
	case fr.hosts > 1 || http11 && fr.Host == "":
		return "the request needs one host"
	case fr.lengths > 1 || fr.badLength:
		return "the request's length is not one number"
	case fr.transferCodings > 1 || fr.transferCodings == 1 && !strings.EqualFold(fr.coding, "chunked"):
		return "the request's transfer coding is not known"
	case fr.transferCodings == 1 && (fr.lengths > 0 || !http11):
		return "the request has two lengths"
	}
	return ""
}

// checkFraming is middleware that refuses requests with ambiguous framing.
func checkFraming(ctx context.Context, rc *app.RequestContext) {
	var fr Framing
	text := TextBadField
	if EachField(rc.Request.Header.RawHeaders(), fr.AddField) {
		text = fr.Check(rc.Request.Header.IsHTTP11())
	}
	if text != "" {
		rc.SetConnectionClose()
		Refuse(rc, consts.StatusBadRequest, wire.ErrorReply{Error: text, Reason: ReasonBadRequest})
		return
	}
	rc.Next(ctx)
}
