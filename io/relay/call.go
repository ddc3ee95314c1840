package relay

import (
	"net/http"
	"sync"
	"time"
)

// Request is one request to one server.
type Request struct {
	// ID is echoed by the server; an id is not used twice in a row on a connection. It is empty
	// for a status check.
	ID     string
	Method string
	// Message returns the complete request, or nil if it is too late to send it. It is called when
	// a connection is free, which may be long after Send, so that a deadline in the request is
	// still right. It may be called again if nothing was written.
	Message func() []byte
	// Priority orders requests that wait for the same server; 0 comes first.
	Priority int
	// FreshConn asks for a connection that was used recently: the server may have silently
	// dropped an idle one, and a request that is lost on it may not be sent again.
	FreshConn bool
	// AwaitConn lets the request wait for a connection that is being opened, or may be opened
	// again soon after a rejected one. Without it the request goes to another server.
	AwaitConn bool
	// Done is called once, with either Reply or Err set. It must not block.
	Done func(Result)
}

// Reply is a server's complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the outcome of a request.
type Result struct {
	Reply *Reply
	Err   *Error
	// Took is the time since the request was written; 0 if it was not.
	Took time.Duration
	// Waited is the time from Send until a connection was free for the request, or until it
	// failed without one.
	Waited time.Duration
}

// Call is a request that has been passed to Send.
type Call struct {
	rq Request
	sv *Server

	mu sync.Mutex
	// cn is the connection on which the call was written.
	cn      *conn
	written bool
	done    bool
	// sentAt is when the call was passed to Send, began when a connection was free for it.
	sentAt, began time.Duration
}

// finish reports the first result and ignores later ones.
func (ca *Call) finish(rs Result) {
	ca.mu.Lock()
	if ca.done {
		ca.mu.Unlock()
		return
	}
	ca.done = true
	now := ca.sv.cfg.Clock()
	if ca.written {
		rs.Took, rs.Waited = now-ca.began, ca.began-ca.sentAt
	} else {
		rs.Waited = now - ca.sentAt
	}
	ca.mu.Unlock()
	ca.rq.Done(rs)
}

func (ca *Call) fail(op string, kind Kind, sent bool, err error) {
	ca.finish(Result{Err: &Error{Op: op, Kind: kind, Addr: ca.sv.addr, Sent: sent, Err: err}})
}

// Queued reports whether the request has not been written yet, so that another server may be asked
// instead. A request that has no other server is not Queued while a connection is being opened.
func (ca *Call) Queued() bool {
	ca.mu.Lock()
	waits := !ca.written && !ca.done
	ca.mu.Unlock()
	return waits && !(ca.rq.AwaitConn && ca.sv.opensConn())
}

func (ca *Call) isDone() bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.done
}

// Drop cancels a call whose response is not needed. A call that still waits for a connection
// ends at once. One that was sent may continue for linger, so that its connection can be
// reused; after that the connection is closed, which makes the server stop.
func (ca *Call) Drop(linger time.Duration) {
	if ca.sv.dequeue(ca) {
		ca.fail("relay.Drop", KindDropped, false, nil)
		return
	}
	if linger <= 0 {
		ca.closeConn()
		return
	}
	time.AfterFunc(linger, ca.closeConn)
}

func (ca *Call) closeConn() {
	ca.mu.Lock()
	cn, over := ca.cn, ca.done
	ca.mu.Unlock()
	if over || cn == nil {
		return
	}
	ca.sv.cfg.Count("cut")
	cn.close()
	ca.fail("relay.Drop", KindDropped, true, nil)
}
