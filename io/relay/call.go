package relay

import (
	"net/http"
	"sync"
	"time"
)

// Request is one request to one server.
type Request struct {
	// ID is echoed by the server; it is used once on each connection. It is empty for a
	// status check.
	ID     string
	Method string
	// Wire is the whole request as it goes out.
	Wire []byte
	// Priority ranks requests that wait for the same server; 0 goes first.
	Priority int
	// Fresh asks for a connection that was used lately: an idle one may have
	// been dropped by the server without a word, and a request that is lost on
	// it may not be sent again.
	Fresh bool
	// Done is called once, with Reply or Err. It must not block.
	Done func(Result)
}

// Reply is a server's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is what became of a request.
type Result struct {
	Reply *Reply
	Err   *Error
	// Took is the time since the request was written.
	Took time.Duration
}

// Call is a request under way.
type Call struct {
	rq Request
	sv *Server

	mu sync.Mutex
	// cn carries the call once it is written.
	cn      *conn
	written bool
	over    bool
	began   time.Duration
}

// finish reports the first result and drops all others.
func (ca *Call) finish(rs Result) {
	ca.mu.Lock()
	if ca.over {
		ca.mu.Unlock()
		return
	}
	ca.over = true
	if ca.written {
		rs.Took = ca.sv.cfg.Clock() - ca.began
	}
	ca.mu.Unlock()
	ca.rq.Done(rs)
}

func (ca *Call) fail(op string, kind Kind, sent bool, err error) {
	ca.finish(Result{Err: &Error{Op: op, Kind: kind, Addr: ca.sv.addr, Sent: sent, Err: err}})
}

// Waits tells whether the request has not been written yet.
func (ca *Call) Waits() bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return !ca.written && !ca.over
}

func (ca *Call) isOver() bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.over
}

// Drop tells that the answer is not needed. A call that still waits for a
// connection ends at once. One that was sent may go on for linger, so that its
// connection can be used again; after that the connection is closed, which makes
// the server stop.
func (ca *Call) Drop(linger time.Duration) {
	if ca.sv.withdraw(ca) {
		ca.fail("relay.Drop", KindDropped, false, nil)
		return
	}
	if linger <= 0 {
		ca.cut()
		return
	}
	time.AfterFunc(linger, ca.cut)
}

func (ca *Call) cut() {
	ca.mu.Lock()
	cn, over := ca.cn, ca.over
	ca.mu.Unlock()
	if over || cn == nil {
		return
	}
	ca.sv.cfg.Count("cut")
	cn.close()
	ca.fail("relay.Drop", KindDropped, true, nil)
}
