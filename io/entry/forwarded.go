package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/errs"
	"laburnumvane/core/lead"
	"laburnumvane/io/inner"
)

// forwardedRequest returns a request that another VM forwarded, as if a client had sent it to
// this VM. waited is the time between the other VM's taking of its times and the sending. The caller
// takes the view afterwards.
func (en *Entry) forwardedRequest(cr *inner.CarryRequest, now, waited time.Duration) *request {
	spent := microseconds(cr.GetSpentUs())
	rq := &request{
		id:          cr.GetId(),
		method:      cr.GetMethod(),
		uri:         cr.GetUri(),
		host:        cr.GetHost(),
		body:        cr.GetBody(),
		framed:      cr.GetFramed(),
		transitTime: time.Duration(cr.GetAwayUs()) * time.Microsecond,
		forwarded:   true,
		copyAge:     en.cfg.CopyAge(),
		began:       now - waited - spent,
	}
	if remaining := microseconds(cr.GetLeftUs()); remaining > 0 {
		rq.timeout = remaining + spent
	}
	if rq.transitTime == 0 {
		// VMs of older versions do not send it.
		rq.transitTime = en.lead.TransitTime(lead.Path{})
	}
	rq.path, _, _ = strings.Cut(rq.uri, "?")
	for _, fi := range cr.GetFields() {
		rq.fields = append(rq.fields, field{name: fi.GetName(), value: fi.GetValue()})
	}
	return rq
}

// carryReply converts the response to the reply for the VM that forwarded the request.
func (rs *response) carryReply(outcome string) (*inner.CarryReply, error) {
	rp := &inner.CarryReply{Status: uint32(rs.status), Body: rs.body, Outcome: outcome}
	for _, fi := range rs.fields {
		rp.Fields = append(rp.Fields, &inner.Field{Name: fi.name, Value: fi.value})
	}
	if rs.refusal == nil {
		return rp, nil
	}
	body, err := json.Marshal(rs.refusal)
	if err != nil {
		return nil, errs.Wrap(err, "entry.Carry")
	}
	rp.Body = body
	rp.Fields = append(rp.Fields, &inner.Field{Name: consts.HeaderContentType, Value: consts.MIMEApplicationJSON})
	return rp, nil
}
