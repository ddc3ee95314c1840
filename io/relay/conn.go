package relay

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readBufferBytes holds most responses of a shard with their headers.
	readBufferBytes = 2 << 10
	// maxHeadBytes limits the status line and headers of a response; a server that sends more is
	// faulty.
	maxHeadBytes = 64 << 10
	// maxStrays is how many responses to other requests are discarded before a connection is
	// closed.
	maxStrays = 2
	// writeTimeout limits the writing of a request to a server that does not read.
	writeTimeout = 5 * time.Second
	// writeReturnTime is how long the write of a request may take to return after its response
	// was read. After it the server has not read the whole request, and the connection cannot be
	// used for another one.
	writeReturnTime = 20 * time.Millisecond
	// idleMargin: an idle connection is closed here before the server closes it, earlier by a
	// fraction 1/idleMargin of the server's timeout.
	idleMargin = 4
)

var (
	errTooLarge    = errors.New("the response is too large")
	errEncoded     = errors.New("the response has a content encoding")
	errStrays      = errors.New("responses to other requests")
	errUnsolicited = errors.New("unsolicited bytes")
)

// conn is one connection. Its reader goroutine runs until the connection is closed.
type conn struct {
	sv *Server
	nc net.Conn
	// br reads from in.
	br *bufio.Reader
	in *limitedReader

	mu sync.Mutex
	// call is the current call, nil while the connection is idle. lastID is the id of the
	// current or, while idle, of the previous request.
	call   *Call
	lastID string
	// used is set once a request has been sent on the connection.
	used bool
	// written is closed once the current request is completely written.
	written chan struct{}
	closed  bool
	// opened is when the connection was opened. lastUsed is when the last response arrived, or
	// else when it was opened.
	opened, lastUsed time.Duration
	// keepAlive is how long the server keeps an idle connection; 0 if it did not say.
	keepAlive time.Duration
}

// start writes a call's request. It runs on the caller's goroutine, because passing it to
// another one would cost a wake-up per attempt.
func (cn *conn) start(ca *Call) {
	message := ca.rq.Message()
	if message == nil {
		ca.fail("relay.start", KindExpired, false, nil)
		cn.sv.release(cn)
		return
	}
	cn.mu.Lock()
	if cn.closed {
		cn.mu.Unlock()
		// Nothing was written: the server closed the connection while it was idle.
		cn.sv.resend(ca)
		return
	}
	if cn.lastID == ca.rq.ID && ca.rq.ID != "" {
		// A late second response to the previous request could be taken for the response to
		// this one.
		cn.mu.Unlock()
		cn.close()
		cn.sv.resend(ca)
		return
	}
	cn.call, cn.lastID, cn.used = ca, ca.rq.ID, true
	written := make(chan struct{})
	cn.written = written
	cn.mu.Unlock()
	ca.mu.Lock()
	ca.cn, ca.written, ca.began = cn, true, cn.sv.cfg.Clock()
	ca.mu.Unlock()
	cn.write(ca, message, written)
}

func (cn *conn) write(ca *Call, message []byte, written chan struct{}) {
	err := cn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	n := 0
	if err == nil {
		n, err = cn.nc.Write(message)
	}
	if err == nil {
		close(written)
		return
	}
	ca.fail("relay.write", KindWrite, n > 0, err)
	cn.close()
}

// readLoop runs until the connection ends.
func (cn *conn) readLoop() {
	strays := 0
	for {
		_, err := cn.br.Peek(1)
		cn.mu.Lock()
		ca := cn.call
		cn.mu.Unlock()
		if err == nil && ca == nil {
			err = errUnsolicited
			cn.sv.cfg.Count("unasked")
		}
		if err != nil {
			cn.sv.cfg.Count("ended")
			cn.fail(ca, KindReset, err)
			return
		}
		rp, reuse, kind, err := cn.readReply(ca)
		if err != nil {
			cn.fail(ca, kind, err)
			return
		}
		if rp == nil {
			if strays++; strays > maxStrays || !reuse {
				cn.fail(ca, KindGarbled, errStrays)
				return
			}
			continue
		}
		strays = 0
		if !cn.deliver(ca, rp, reuse) {
			return
		}
	}
}

// readReply reads one response. rp is nil if the response belongs to another request.
func (cn *conn) readReply(ca *Call) (rp *Reply, reuse bool, kind Kind, err error) {
	cn.in.left = maxHeadBytes
	rs, err := http.ReadResponse(cn.br, &http.Request{Method: ca.rq.Method}) //nolint:bodyclose // see bodyReader.read
	cn.in.left = unlimited
	if err != nil {
		return nil, false, KindGarbled, err
	}
	if rs.StatusCode < http.StatusOK {
		return nil, true, "", nil
	}
	body, err := cn.sv.cfg.bodies.read(rs)
	switch {
	case errors.Is(err, errTooLarge):
		return nil, false, KindGarbled, err
	case err != nil:
		return nil, false, KindReset, err
	}
	cn.noteKeepAlive(rs)
	if id := rs.Header.Get(cn.sv.cfg.HeaderID); id != ca.rq.ID {
		cn.sv.cfg.Count("stray")
		return nil, !rs.Close, "", nil
	}
	if rs.Header.Get("Content-Encoding") != "" {
		return nil, false, KindGarbled, errEncoded
	}
	return &Reply{Status: rs.StatusCode, Header: rs.Header, Body: body}, !rs.Close, "", nil
}

// noteKeepAlive stores how long the server says that it keeps the connection.
func (cn *conn) noteKeepAlive(rs *http.Response) {
	value := rs.Header.Get("Keep-Alive")
	if value == "" {
		return
	}
	for _, part := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			cn.mu.Lock()
			cn.keepAlive = time.Duration(seconds) * time.Second
			cn.mu.Unlock()
		}
	}
}

// deliver reports a response and returns whether the connection can be reused.
func (cn *conn) deliver(ca *Call, rp *Reply, reuse bool) bool {
	// Report the result first: what it shows about the server limits which request may start
	// next.
	ca.finish(Result{Reply: rp})
	reuse = reuse && cn.awaitWritten()
	cn.mu.Lock()
	reuse = reuse && cn.br.Buffered() == 0 && !cn.closed
	if reuse {
		cn.call = nil
	}
	cn.lastUsed = cn.sv.cfg.Clock()
	cn.mu.Unlock()
	if reuse {
		cn.sv.release(cn)
	} else {
		cn.sv.cfg.Count("closing")
		cn.close()
	}
	return reuse
}

// awaitWritten waits until the current request is completely written, and returns false if that
// takes longer than writeReturnTime. A response can be read before the write of its request has
// returned; closing the connection then would leave a healthy server without connections.
func (cn *conn) awaitWritten() bool {
	cn.mu.Lock()
	written := cn.written
	cn.mu.Unlock()
	select {
	case <-written:
		return true
	default:
	}
	tm := time.NewTimer(writeReturnTime)
	defer tm.Stop()
	select {
	case <-written:
		return true
	case <-tm.C:
		return false
	}
}

// fail closes the connection and fails the call on it, if any. A call may have started after
// the reader last checked; cn.call is therefore read again, or that call would wait for ever.
func (cn *conn) fail(ca *Call, kind Kind, err error) {
	re := &Error{Op: "relay.read", Kind: kind, Addr: cn.sv.addr, Sent: true, Err: err}
	cn.mu.Lock()
	if ca == nil {
		ca = cn.call
	}
	closedHere := cn.closed
	cn.mu.Unlock()
	if ca != nil && !closedHere && re.Broken() {
		cn.sv.noteBroken(ca.rq.ID)
	}
	cn.close()
	if ca == nil {
		cn.mu.Lock()
		ca = cn.call
		cn.mu.Unlock()
	}
	if ca != nil {
		ca.finish(Result{Err: re})
	}
}

// close closes the connection once and removes it from the server's counts.
func (cn *conn) close() {
	cn.mu.Lock()
	wasClosed, busy := cn.closed, cn.call != nil
	cn.closed = true
	cn.mu.Unlock()
	if wasClosed {
		return
	}
	// Nothing can be done about an error.
	_ = cn.nc.Close()
	cn.sv.removeConn(cn, busy)
}

// lastCarried reports whether the last request on the connection had that id.
func (cn *conn) lastCarried(id string) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.lastID == id
}

// wasRejected reports whether a closed connection was open only briefly and never used. A
// server without free connection slots may reset a connection later than verifyTime allows for.
func (cn *conn) wasRejected(now time.Duration) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return !cn.used && now-cn.opened < maxFreshIdle
}

func (cn *conn) isClosed() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.closed
}

// stale reports whether the server may close the idle connection soon.
func (cn *conn) stale(now time.Duration, idle time.Duration) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	limit := idle
	if cn.keepAlive > 0 {
		limit = min(limit, cn.keepAlive-cn.keepAlive/idleMargin)
	}
	return now-cn.lastUsed >= limit
}

func (cn *conn) idleFor(now time.Duration) time.Duration {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return now - cn.lastUsed
}
