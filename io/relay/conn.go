package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readBuffer holds most answers of a shard with their headers.
	readBuffer = 2 << 10
	// maxReplyBytes bounds an answer; a server that sends more is broken.
	maxReplyBytes = 8 << 20
	// maxStrays is how many answers to other requests are dropped before a
	// connection is given up.
	maxStrays = 2
	// writeTime bounds the writing of a request to a server that does not read.
	writeTime = 5 * time.Second
	// idleMargin is how much sooner than the server an idle connection is
	// closed here, as a divisor of its timeout.
	idleMargin = 4
)

var (
	errTooLarge = errors.New("the answer is too large")
	errEncoded  = errors.New("the answer has a content encoding")
	errStrays   = errors.New("answers to other requests")
	errUnasked  = errors.New("bytes that nobody asked for")
)

// conn is one connection. Its reader runs from its opening to its end.
type conn struct {
	sv *Server
	nc net.Conn
	br *bufio.Reader

	mu sync.Mutex
	// call is the one under way, nil while idle; last is the id of the one before, or
	// of this one.
	call *Call
	last string
	// wrote is set once the whole request is written.
	wrote  bool
	closed bool
	// opened is when it was opened, used when the last answer came, or the same.
	opened, used time.Duration
	// keep is how long the server keeps it idle; 0 if it did not say.
	keep time.Duration
}

// start writes a call's request. It runs on the caller's goroutine: to hand it
// to another one would cost a wake-up for each attempt.
func (cn *conn) start(ca *Call) {
	cn.mu.Lock()
	if cn.closed {
		cn.mu.Unlock()
		// Nothing was written: the server ended it while it was idle.
		cn.sv.resend(ca)
		return
	}
	if cn.last == ca.rq.ID && ca.rq.ID != "" {
		// A late second answer to the first could be taken for one to this.
		cn.mu.Unlock()
		cn.close()
		cn.sv.resend(ca)
		return
	}
	cn.call, cn.last = ca, ca.rq.ID
	cn.wrote = false
	cn.mu.Unlock()
	ca.mu.Lock()
	ca.cn, ca.written, ca.began = cn, true, cn.sv.cfg.Clock()
	ca.mu.Unlock()
	cn.write(ca)
}

func (cn *conn) write(ca *Call) {
	err := cn.nc.SetWriteDeadline(time.Now().Add(writeTime))
	n := 0
	if err == nil {
		n, err = cn.nc.Write(ca.rq.Wire)
	}
	if err == nil {
		cn.mu.Lock()
		cn.wrote = true
		cn.mu.Unlock()
		return
	}
	ca.fail("relay.write", KindWrite, n > 0, err)
	cn.close()
}

// read runs until the connection ends.
func (cn *conn) read() {
	strays := 0
	for {
		_, err := cn.br.Peek(1)
		cn.mu.Lock()
		ca := cn.call
		cn.mu.Unlock()
		if err == nil && ca == nil {
			err = errUnasked
			cn.sv.cfg.Count("unasked")
		}
		if err != nil {
			cn.sv.cfg.Count("ended")
			cn.end(ca, KindReset, err)
			return
		}
		rp, reuse, kind, err := cn.answer(ca)
		if err != nil {
			cn.end(ca, kind, err)
			return
		}
		if rp == nil {
			if strays++; strays > maxStrays || !reuse {
				cn.end(ca, KindGarbled, errStrays)
				return
			}
			continue
		}
		strays = 0
		if !cn.done(ca, rp, reuse) {
			return
		}
	}
}

// answer reads one answer; it is nil if it belongs to another request.
func (cn *conn) answer(ca *Call) (rp *Reply, reuse bool, kind Kind, err error) {
	rs, err := http.ReadResponse(cn.br, &http.Request{Method: ca.rq.Method})
	if err != nil {
		return nil, false, KindGarbled, err
	}
	if rs.StatusCode < http.StatusOK {
		return nil, true, "", nil
	}
	body, err := readBody(rs)
	if err != nil {
		return nil, false, KindReset, err
	}
	cn.noteKeep(rs)
	if id := rs.Header.Get(cn.sv.cfg.HeaderID); id != ca.rq.ID {
		cn.sv.cfg.Count("stray")
		return nil, !rs.Close, "", nil
	}
	if rs.Header.Get("Content-Encoding") != "" {
		return nil, false, KindGarbled, errEncoded
	}
	return &Reply{Status: rs.StatusCode, Header: rs.Header, Body: body}, !rs.Close, "", nil
}

func readBody(rs *http.Response) ([]byte, error) {
	defer rs.Body.Close()
	if rs.ContentLength > maxReplyBytes {
		return nil, errTooLarge
	}
	if rs.ContentLength >= 0 {
		body := make([]byte, rs.ContentLength)
		_, err := io.ReadFull(rs.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = errTooLarge
	}
	return body, err
}

// noteKeep takes the server's word on how long it keeps the connection.
func (cn *conn) noteKeep(rs *http.Response) {
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
			cn.keep = time.Duration(seconds) * time.Second
			cn.mu.Unlock()
		}
	}
}

// done hands an answer over and tells whether the connection goes on.
func (cn *conn) done(ca *Call, rp *Reply, reuse bool) bool {
	cn.mu.Lock()
	reuse = reuse && cn.wrote && cn.br.Buffered() == 0 && !cn.closed
	if reuse {
		cn.call = nil
	}
	cn.used = cn.sv.cfg.Clock()
	cn.mu.Unlock()
	// The result first: what it shows of the server bounds what begins next.
	ca.finish(Result{Reply: rp})
	if reuse {
		cn.sv.free(cn)
	} else {
		cn.sv.cfg.Count("closing")
		cn.close()
	}
	return reuse
}

// end closes the connection under a call, or without one. A call may have begun
// on it after the reader looked: without the second look it would wait for ever.
func (cn *conn) end(ca *Call, kind Kind, err error) {
	re := &Error{Op: "relay.read", Kind: kind, Addr: cn.sv.addr, Sent: true, Err: err}
	cn.mu.Lock()
	if ca == nil {
		ca = cn.call
	}
	own := cn.closed
	cn.mu.Unlock()
	if ca != nil && !own && re.Broken() {
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

// close closes the connection once and frees its place.
func (cn *conn) close() {
	cn.mu.Lock()
	was, busy := cn.closed, cn.call != nil
	cn.closed = true
	cn.mu.Unlock()
	if was {
		return
	}
	// The connection is given up; there is nothing to do about an error.
	_ = cn.nc.Close()
	cn.sv.lost(cn, busy)
}

// carried tells whether a request with that id was the last one on it.
func (cn *conn) carried(id string) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.last == id
}

// wasTurnedAway tells whether a connection that ends was hardly open and never used: a
// reset by a server without places may come later than the proof of an opening waits.
func (cn *conn) wasTurnedAway(now time.Duration) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.last == "" && now-cn.opened < freshFor
}

func (cn *conn) isClosed() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.closed
}

// stale tells whether the server may end the idle connection soon.
func (cn *conn) stale(now time.Duration, idle time.Duration) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	limit := idle
	if cn.keep > 0 {
		limit = min(limit, cn.keep-cn.keep/idleMargin)
	}
	return now-cn.used >= limit
}

func (cn *conn) idleFor(now time.Duration) time.Duration {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return now - cn.used
}
