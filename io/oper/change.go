package oper

import (
	"context"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/go-faster/errors"

	"laburnumvane/io/guard"
)

const (
	headerActor  = "X-Actor"
	maxNameBytes = 128
)

func (op *Oper) putConfig(ctx context.Context, rc *app.RequestContext) {
	pr, ok := parseProposal(rc)
	if !ok {
		return
	}
	// A client that disconnects must not cancel the write, since the change's result would be
	// unknown without need.
	reply, err := op.cfg.Operator.Change(context.WithoutCancel(ctx), pr)
	if err != nil {
		refuse(rc, consts.StatusBadRequest, ReasonInvalid, err.Error())
		return
	}
	if reply.Revision != 0 {
		rc.Header("ETag", etag(reply.Revision))
	}
	rc.JSON(statusOf(reply.Result), reply)
}

// parseProposal reads a change. If the change is invalid, it refuses the request and returns false.
func parseProposal(rc *app.RequestContext) (Proposal, bool) {
	body, er := guard.Body(rc)
	if er != nil {
		guard.Refuse(rc, consts.StatusUnsupportedMediaType, *er)
		return Proposal{}, false
	}
	pr := Proposal{
		ID:    rc.Query("id"),
		Team:  rc.Param("team"),
		Actor: string(rc.GetHeader(headerActor)),
		// The library reuses the body's buffer.
		Document: append([]byte(nil), body...),
	}
	for _, nm := range []struct{ path, value string }{{"id", pr.ID}, {headerActor, pr.Actor}} {
		if !isName(nm.value) {
			guard.Refuse(rc, consts.StatusBadRequest, *guard.BadField(nm.path, "must be at most 128 printable ASCII characters"))
			return pr, false
		}
	}
	var err error
	// If other values meant false, a misspelt dry run would be a real change.
	if raw := rc.Query("dryRun"); raw != "" {
		if pr.DryRun, err = strconv.ParseBool(raw); err != nil {
			guard.Refuse(rc, consts.StatusBadRequest, *guard.BadField("dryRun", "must be true or false"))
			return pr, false
		}
	}
	return pr, setExpect(rc, &pr)
}

func isName(s string) bool {
	if len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// setExpect reads the expected revision. If it is missing or invalid, it refuses the request and
// returns false.
func setExpect(rc *app.RequestContext, pr *Proposal) bool {
	header := string(rc.GetHeader("If-Match"))
	if header == "" {
		refuse(rc, consts.StatusPreconditionRequired, ReasonNoRevision,
			`name the revision that the change was made from, as in If-Match: "12", or "0" where there is none yet`)
		return false
	}
	expect, err := parseIfMatch(header)
	if err != nil {
		guard.Refuse(rc, consts.StatusBadRequest, *guard.BadField("If-Match", err.Error()))
		return false
	}
	pr.Expect = expect
	return true
}

func etag(revision uint64) string {
	return strconv.Quote(strconv.FormatUint(revision, 10))
}

// parseIfMatch reads a revision; nil means any. The quotes may be missing, since shells remove
// them. Weak tags and lists are refused.
func parseIfMatch(header string) (*uint64, error) {
	if header == "*" {
		return nil, nil
	}
	digits := header
	if n := len(header); n > 2 && header[0] == '"' && header[n-1] == '"' {
		digits = header[1 : n-1]
	}
	revision, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return nil, errors.New("must be one revision in quotes, or *")
	}
	return &revision, nil
}
