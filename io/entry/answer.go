package entry

import (
	"context"
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

// Reasons for refusals, besides those of the fan-out machine and the listener.
const (
	reasonNoID     = "noRequestId"
	reasonNoRoutes = "noConfiguration"
	reasonNoRoom   = "noRoom"
	reasonCutOff   = "cutOff"
	// reasonAwaitedTrial: the request timed out while it waited for the trial of the same
	// request from another caller.
	reasonAwaitedTrial = "awaitedTrial"
)

const (
	// retryAfterBusy applies when servers had no capacity: their queues are only a few requests
	// long.
	retryAfterBusy = 150 * time.Millisecond
	// retryAfterNoServer applies when no server is known; an update about one arrives within a
	// second or two.
	retryAfterNoServer = 500 * time.Millisecond
	// retryAfterCutOff is how long the balancer needs to send clients to other data centres
	// after this VM was found to be cut off: it checks once a second and needs two failed
	// checks.
	retryAfterCutOff = 2 * time.Second
	// retryAfterBoot applies when no configuration is known yet: a VM that boots has it within
	// a few tenths of a second.
	retryAfterBoot = 150 * time.Millisecond
)

// mimeRecords is the content type of a gathered body.
const mimeRecords = "application/octet-stream"

// headerRetryAfter is in seconds and may have a fraction.
const headerRetryAfter = "Retry-After"

// response is a response that has not been written yet.
type response struct {
	status int
	// fields are the headers to set; a name may occur more than once.
	fields []field
	body   []byte
	// refusal is set if this VM itself refuses the request; nil means that body holds the
	// response.
	refusal *wire.ErrorReply
	// closesConn is set if the client's connection is closed after the response.
	closesConn bool
}

func (rs *response) add(name, value string) {
	rs.fields = append(rs.fields, field{name: name, value: value})
}

func (rs *response) write(rc *app.RequestContext) {
	for _, fi := range rs.fields {
		rc.Response.Header.Add(fi.name, fi.value)
	}
	if rs.closesConn {
		rc.SetConnectionClose()
	}
	if rs.refusal != nil {
		guard.Refuse(rc, rs.status, *rs.refusal)
		return
	}
	rc.SetStatusCode(rs.status)
	rc.Response.SetBodyRaw(rs.body)
}

// refusalResponse returns a response that refuses a request on behalf of this VM.
func refusalResponse(status int, reason, text string) *response {
	return &response{status: status, refusal: &wire.ErrorReply{Error: text, Reason: reason}}
}

// execute sends a request to servers and returns the response.
func (en *Entry) execute(ctx context.Context, fl *flight) (*response, string) {
	an := fl.run(ctx)
	fl.reportArrival()
	fl.late = an.Outcome != fanout.OutcomeServed || an.At > fl.rq.began+fl.rt.Target
	fl.lacked, fl.lackedAt = an.Lacked, an.LackedAt
	rs := fl.response(an)
	en.recordOutcome(an, fl.rq)
	fl.log(an, rs.status)
	return rs, an.Outcome.String()
}

// response builds the response to a request that was sent to servers.
func (fl *flight) response(an fanout.Answer) *response {
	switch an.Outcome {
	case fanout.OutcomeServed:
		if fl.rt.Gather != nil {
			return fl.gatheredResponse(an)
		}
		return serverResponse(fl.results[an.Winners[0]].rs.Reply)
	case fanout.OutcomeNotRun:
		return fl.notRunResponse(an)
	}
	return fl.failedResponse(an)
}

// gatheredResponse merges the shards' responses into one.
func (fl *flight) gatheredResponse(an fanout.Answer) *response {
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

// serverResponse returns a server's response without its hop-by-hop headers.
func serverResponse(rp *relay.Reply) *response {
	rs := &response{status: rp.Status, body: rp.Body}
	listed := rp.Header["Connection"]
	for name, values := range rp.Header {
		if isHopByHop(name) || isListed(listed, name) {
			continue
		}
		for _, value := range values {
			rs.add(name, value)
		}
	}
	return rs
}

func isListed(lists []string, name string) bool {
	for _, list := range lists {
		for _, other := range strings.Split(list, ",") {
			if strings.EqualFold(strings.TrimSpace(other), name) {
				return true
			}
		}
	}
	return false
}

// notRunResponse says that the request did not run, and when the client may retry.
func (fl *flight) notRunResponse(an fanout.Answer) *response {
	wait := retryAfterNoServer
	switch {
	case an.NoCapacity:
		wait = retryAfterBusy
	case fl.onlyColdLeft:
		wait = fl.timeUntilWarm(fl.en.cfg.Clock())
	}
	rs := refusalResponse(consts.StatusServiceUnavailable, an.Reason, "the request did not run")
	rs.setRetryAfter(wait)
	return rs
}

// setRetryAfter sets Retry-After to between one and two times the given wait, so that clients
// refused at the same time do not retry at the same time.
func (rs *response) setRetryAfter(wait time.Duration) {
	rs.addRetryAfter(wait + time.Duration(rand.Int64N(int64(wait))))
}

// addRetryAfter sets Retry-After to a wait that is spread already.
func (rs *response) addRetryAfter(wait time.Duration) {
	rs.add(headerRetryAfter, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

// failedResponse says that the request may have run. If a server reported a failure itself, its
// response is passed on.
func (fl *flight) failedResponse(an fanout.Answer) *response {
	if fl.rt.Gather == nil && an.ShownFailure >= 0 {
		if rp := fl.results[an.ShownFailure].rs.Reply; rp != nil && rp.Header.Get(fl.en.cfg.Names.Receipt) != "" {
			return serverResponse(rp)
		}
	}
	status := consts.StatusBadGateway
	if an.Reason == fanout.ReasonDeadline {
		status = consts.StatusGatewayTimeout
	}
	return refusalResponse(status, an.Reason, "the request may have run")
}
