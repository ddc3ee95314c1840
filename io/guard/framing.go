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

// Framing is what a request's headers say of where it ends. The library follows the
// last of two lengths, and chunks where there is a length too; another program on
// the way that follows the other one takes a part of the body for a second request,
// or a second request for a part of the body. Such a request is refused, and its
// connection ends: where the next one begins is not known.
type Framing struct {
	// Host is the value of the last Host line.
	Host string

	hosts, lengths, codings int
	coding                  string
	badLength               bool
}

// Fields visits the lines of a raw header. It tells whether all could be read, and
// stops at the first that cannot.
func Fields(raw []byte, visit func(name, value string)) bool {
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

// Note takes in one line.
func (fr *Framing) Note(name, value string) {
	switch {
	case strings.EqualFold(name, consts.HeaderHost):
		fr.hosts++
		fr.Host = value
	case strings.EqualFold(name, consts.HeaderContentLength):
		fr.lengths++
		_, err := strconv.ParseUint(value, 10, 63)
		fr.badLength = fr.badLength || err != nil
	case strings.EqualFold(name, consts.HeaderTransferEncoding):
		fr.codings++
		fr.coding = value
	}
}

// Framed tells whether the request has a body, be it an empty one.
func (fr *Framing) Framed() bool { return fr.lengths > 0 || fr.codings > 0 }

// Check tells what is wrong; it is empty if there is one way to read the request.
func (fr *Framing) Check(http11 bool) string {
	switch {
	case fr.hosts > 1 || http11 && fr.Host == "":
		return "the request needs one host"
	case fr.lengths > 1 || fr.badLength:
		return "the request's length is not one number"
	case fr.codings > 1 || fr.codings == 1 && !strings.EqualFold(fr.coding, "chunked"):
		return "the request's transfer coding is not known"
	case fr.codings == 1 && (fr.lengths > 0 || !http11):
		return "the request has two lengths"
	}
	return ""
}

// checkFraming stands before all handlers of a listener.
func checkFraming(ctx context.Context, rc *app.RequestContext) {
	var fr Framing
	text := TextBadField
	if Fields(rc.Request.Header.RawHeaders(), fr.Note) {
		text = fr.Check(rc.Request.Header.IsHTTP11())
	}
	if text != "" {
		rc.SetConnectionClose()
		Refuse(rc, consts.StatusBadRequest, wire.ErrorReply{Error: text, Reason: ReasonBadRequest})
		return
	}
	rc.Next(ctx)
}
