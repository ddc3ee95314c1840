package front

import (
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/drive"
	"laburnumvane/io/wire"
)

// statusOf returns the HTTP status of an answer.
func statusOf(an wire.SearchAnswer) int {
	switch an.Outcome {
	case wire.OutcomeComplete, wire.OutcomePartial:
		return consts.StatusOK
	case wire.OutcomeUnknown:
		return consts.StatusGatewayTimeout
	}
	switch an.Reason {
	case drive.ReasonBadRequest, drive.ReasonUnknownSearch, drive.ReasonTicketNeeded,
		drive.ReasonTicketForged, drive.ReasonTicketOfOtherTeam, drive.ReasonTicketOfOtherRequest:
		return consts.StatusBadRequest
	}
	if an.RetryAfterMs > 0 {
		return consts.StatusTooManyRequests
	}
	return consts.StatusServiceUnavailable
}
