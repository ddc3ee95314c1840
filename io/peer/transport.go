package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// resettingTransport is a transport that closes a peer's idle connections after a timeout. A
// network device between two VMs may lose all their open connections while new ones work. Without
// the reset, each call on another idle connection would run into a timeout, as if the peer was
// down.
type resettingTransport struct {
	tr *http.Transport
}

// RoundTrip sends a request and bounds the size of its reply.
func (rt *resettingTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	rs, err := rt.tr.RoundTrip(withMinimalHeaders(rq))
	if err != nil {
		if isTimeout(err) {
			rt.tr.CloseIdleConnections()
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
