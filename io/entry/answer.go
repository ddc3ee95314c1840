package entry

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/fanout"
	"laburnumvane/core/record"
	"laburnumvane/io/guard"
	"laburnumvane/io/relay"
	"laburnumvane/io/wire"
)

// Reasons of refusals beside those of the machine and the listener.
const (
	reasonNoID     = "noRequestId"
	reasonNoRoutes = "noConfiguration"
	reasonNoRoom   = "noRoom"
	reasonCutOff   = "cutOff"
	// reasonAwaited: its time ended while it waited for another arrival's trial.
	reasonAwaited = "awaitedTrial"
)

const (
	// backSoon is when a client may come back after servers had no room: their
	// queues are a few requests long.
	backSoon = 150 * time.Millisecond
	// backLater is the same where there is no server; news of one comes within
	// a second or two.
	backLater = 500 * time.Millisecond
	// backMoved is when the balancer sends clients to other data centres after this
	// VM was found cut off: it asks once a second, and twice.
	backMoved = 2 * time.Second
	// backBoot is the same where there is no configuration yet: a VM that boots
	// has it within some tenths of a second.
	backBoot = 150 * time.Millisecond
)

// mimeRecords is the type of a gathered body.
const mimeRecords = "application/octet-stream"

// headerRetryAfter is in seconds, and may have a fraction.
const headerRetryAfter = "Retry-After"

// response is an answer before it is written.
type response struct {
	status int
	// fields are those to be set; of one name there may be several.
	fields []field
	body   []byte
	// refusal is set where the answer is this VM's own and no server's.
	refusal *wire.ErrorReply
}

func (rs *response) add(name, value string) {
	rs.fields = append(rs.fields, field{name: name, value: value})
}

// write writes an answer to the client.
func (rs *response) write(rc *app.RequestContext) {
	for _, fi := range rs.fields {
		rc.Response.Header.Add(fi.name, fi.value)
	}
	if rs.refusal != nil {
		guard.Refuse(rc, rs.status, *rs.refusal)
		return
	}
	rc.SetStatusCode(rs.status)
	rc.Response.SetBodyRaw(rs.body)
}

// own is an answer that no server gave.
func own(status int, reason, text string) *response {
	return &response{status: status, refusal: &wire.ErrorReply{Error: text, Reason: reason}}
}

// response makes the answer of a request that was launched.
func (fl *flight) response(an fanout.Answer) *response {
	switch an.Outcome {
	case fanout.OutcomeServed:
		if fl.rt.Gather != nil {
			return fl.gathered(an)
		}
		return pass(fl.results[an.Winners[0]].rs.Reply)
	case fanout.OutcomeNotRun:
		return fl.notRun(an)
	}
	return fl.failed(an)
}

// gathered joins the shards' answers.
func (fl *flight) gathered(an fanout.Answer) *response {
	parts := make([][]byte, 0, len(an.Winners))
	receipts := make([]string, 0, len(an.Winners))
	for _, k := range an.Winners {
		rp := fl.results[k].rs.Reply
		parts = append(parts, rp.Body)
		receipts = append(receipts, rp.Header.Get(fl.en.cfg.Names.Receipt))
	}
	names := &fl.en.cfg.Names
	rs := &response{status: consts.StatusOK, body: record.Greatest(parts, fl.rt.Gather.Limit)}
	rs.add(names.RequestID, fl.rq.id)
	rs.add(names.Parts, strings.Join(receipts, ", "))
	rs.add(names.Missing, strconv.Itoa(an.Missing))
	rs.add(consts.HeaderContentType, mimeRecords)
	return rs
}

// pass is a server's answer as it is.
func pass(rp *relay.Reply) *response {
	rs := &response{status: rp.Status, body: rp.Body}
	named := rp.Header["Connection"]
	for name, values := range rp.Header {
		if isHop(name) || isNamed(named, name) {
			continue
		}
		for _, value := range values {
			rs.add(name, value)
		}
	}
	return rs
}

func isNamed(lists []string, name string) bool {
	for _, list := range lists {
		for _, other := range strings.Split(list, ",") {
			if strings.EqualFold(strings.TrimSpace(other), name) {
				return true
			}
		}
	}
	return false
}

// notRun tells that the request did not run, and when to come back.
func (fl *flight) notRun(an fanout.Answer) *response {
	back := backLater
	switch {
	case an.Full:
		back = backSoon
	case fl.cold:
		back = fl.warmIn(fl.en.cfg.Clock())
	}
	rs := own(consts.StatusServiceUnavailable, an.Reason, "the request did not run")
	rs.comeBack(back)
	return rs
}

// comeBack says when to come back, and spreads clients that are refused
// together.
func (rs *response) comeBack(back time.Duration) {
	back += time.Duration(rand.Int64N(int64(back)))
	rs.add(headerRetryAfter, strconv.FormatFloat(back.Seconds(), 'f', 3, 64))
}

// failed tells that the request may have run. A server's own failure is shown as
// it is.
func (fl *flight) failed(an fanout.Answer) *response {
	if fl.rt.Gather == nil && an.Shown >= 0 {
		if rp := fl.results[an.Shown].rs.Reply; rp != nil && rp.Header.Get(fl.en.cfg.Names.Receipt) != "" {
			return pass(rp)
		}
	}
	status := consts.StatusBadGateway
	if an.Reason == fanout.ReasonDeadline {
		status = consts.StatusGatewayTimeout
	}
	return own(status, an.Reason, "the request may have run")
}
