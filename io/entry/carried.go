package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/fault"
	"laburnumvane/core/lead"
	"laburnumvane/io/inner"
)

// carriedRequest is another VM's request as if it had come to this one.
func carriedRequest(cr *inner.CarryRequest, now time.Duration, ld *lead.Lead) *request {
	spent := time.Duration(cr.GetSpentUs()) * time.Microsecond
	rq := &request{
		id:      cr.GetId(),
		method:  cr.GetMethod(),
		uri:     cr.GetUri(),
		host:    cr.GetHost(),
		body:    cr.GetBody(),
		framed:  cr.GetFramed(),
		away:    time.Duration(cr.GetAwayUs()) * time.Microsecond,
		carried: true,
		began:   now - spent,
	}
	if left := time.Duration(cr.GetLeftUs()) * time.Microsecond; left > 0 {
		rq.patience = left + spent
	}
	if rq.away == 0 {
		// An older VM does not tell.
		rq.away = ld.Away(lead.Trip{})
	}
	rq.path, _, _ = strings.Cut(rq.uri, "?")
	for _, fi := range cr.GetFields() {
		rq.fields = append(rq.fields, field{name: fi.GetName(), value: fi.GetValue()})
	}
	return rq
}

// carried is an answer on its way to the VM that asked.
func (rs *response) carried(outcome string) (*inner.CarryReply, error) {
	rp := &inner.CarryReply{Status: uint32(rs.status), Body: rs.body, Outcome: outcome}
	for _, fi := range rs.fields {
		rp.Fields = append(rp.Fields, &inner.Field{Name: fi.name, Value: fi.value})
	}
	if rs.refusal == nil {
		return rp, nil
	}
	body, err := json.Marshal(rs.refusal)
	if err != nil {
		return nil, fault.Wrap(err, "entry.Carry")
	}
	rp.Body = body
	rp.Fields = append(rp.Fields, &inner.Field{Name: consts.HeaderContentType, Value: consts.MIMEApplicationJSON})
	return rp, nil
}
