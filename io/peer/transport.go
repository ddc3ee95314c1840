package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// wary is a transport that mistrusts a peer's connections once one was silent.
// Something between two VMs may lose track of all their open connections while
// new ones work; with each call that takes an idle one the peer would look dead
// for another timeout.
type wary struct {
	tr *http.Transport
}

// RoundTrip makes one exchange, with a bounded reply.
func (wa *wary) RoundTrip(rq *http.Request) (*http.Response, error) {
	rs, err := wa.tr.RoundTrip(lean(rq))
	if err != nil {
		if isTimeout(err) {
			wa.tr.CloseIdleConnections()
		}
		return nil, err
	}
	rs.Body = http.MaxBytesReader(nil, rs.Body, maxReplyBytes)
	return rs, nil
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
