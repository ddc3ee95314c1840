package entry

import (
	"net/http"
	"strconv"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/io/relay"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// head returns the part of the request that is the same for all attempts.
func (en *Entry) head(rq *request) []byte {
	size := len(rq.method) + len(rq.uri) + len(rq.host) + len(rq.id) + fixedHeadBytes
	for _, fi := range rq.fields {
		size += len(fi.name) + len(fi.value) + len(": \r\n")
	}
	out := make([]byte, 0, size)
	out = append(out, rq.method...)
	out = append(out, ' ')
	out = append(out, rq.uri...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendField(out, "Host", rq.host)
	out = appendField(out, en.cfg.Names.RequestID, rq.id)
	for _, fi := range rq.fields {
		out = appendField(out, fi.name, fi.value)
	}
	if rq.framed {
		out = appendField(out, "Content-Length", strconv.Itoa(len(rq.body)))
	}
	return out
}

// fixedHeadBytes is an estimate of the size of a request's fixed texts.
const fixedHeadBytes = 128

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// maxUncheckedWait is how long a request may wait for a connection before it is checked again whether
// the server may get it. A warmup.Limiter allows for that much between its permission and the sending.
const maxUncheckedWait = 20 * time.Millisecond

// message returns the complete request for one server, chosen at chosenAt, as it is sent now. It
// returns nil if less than minAttemptTime is left, or the server may no longer get the request.
func (en *Entry) message(head []byte, rq *request, up *origin.Upstream, chosenAt, hardDeadline time.Duration) []byte {
	now := en.cfg.Clock()
	left := hardDeadline - now
	if left < minAttemptTime || now-chosenAt > maxUncheckedWait && !en.mayStillSend(now, up) {
		return nil
	}
	ms := strconv.FormatInt(left.Milliseconds(), 10)
	names := &en.cfg.Names
	out := make([]byte, 0, len(head)+len(rq.body)+len(names.Deadline)+len(names.Target)+len(ms)+len(up.ID)+len(": \r\n: \r\n\r\n"))
	out = append(out, head...)
	out = appendField(out, names.Deadline, ms)
	out = appendField(out, names.Target, up.ID)
	out = append(out, "\r\n"...)
	return append(out, rq.body...)
}

// mayStillSend reports whether a server that was chosen a while ago may get a request now. It may have
// begun to warm up since then.
func (en *Entry) mayStillSend(now time.Duration, up *origin.Upstream) bool {
	vw := en.cfg.View()
	current, ok := vw.Upstreams().Find(up.ID)
	return ok && current.Accepting() && !en.mayMissWarmUp(vw, up.Service) && en.admitCold(now, current)
}

// newAttemptResult returns the result of an attempt that this VM sent.
func (en *Entry) newAttemptResult(k int, rs relay.Result, gathered bool) attemptResult {
	broken := rs.Err != nil && rs.Err.Broken()
	return attemptResult{attempt: k, verdict: en.classify(rs, gathered), rs: rs, broken: broken}
}

// classify returns the verdict on an exchange. A request is known not to have run only if the
// server says so or nothing was sent; after any other failure it may have run.
func (en *Entry) classify(rs relay.Result, gathered bool) fanout.Verdict {
	if rs.Err != nil {
		if rs.Err.Sent {
			return fanout.Lost
		}
		return fanout.Unsent
	}
	rp := rs.Reply
	switch {
	case rp.Status == http.StatusMisdirectedRequest:
		return fanout.Elsewhere
	case rp.Header.Get(en.cfg.Names.NotRun) != "":
		return fanout.Refused
	case rp.Status >= consts.StatusInternalServerError:
		return fanout.Failed
	case rp.Header.Get(en.cfg.Names.Receipt) == "":
		// Servers sign every response, so this one came from something else.
		return fanout.Lost
	case gathered && (rp.Status < consts.StatusOK || rp.Status >= consts.StatusMultipleChoices):
		return fanout.Failed
	}
	return fanout.Served
}
