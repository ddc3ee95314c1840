package relay

import (
	"net"
	"sync"
	"time"

	"laburnumvane/core/origin"
	"laburnumvane/core/peak"
	"laburnumvane/core/queue"
)

const (
	// dialTimeout limits the opening of a connection: a server accepts it within some
	// milliseconds, and one that has gone never answers.
	dialTimeout = 1 * time.Second
	// maxQueued limits the requests that wait for a connection to one server.
	maxQueued = 64
	// maxFreshIdle is how long a connection may have been idle for a request that may not be
	// sent again.
	maxFreshIdle = 500 * time.Millisecond
	// verifyTime is how long, beyond the time that opening it took, a new connection is watched
	// before it is used: a reset arrives one round trip later.
	verifyTime = time.Millisecond
	// dialBackoff is how long no connection is opened after one was refused. For a connection
	// without demand the wait doubles each time up to maxIdleBackoff: no request waits for it,
	// and each dial takes a slot at a server that has none left.
	dialBackoff    = 200 * time.Millisecond
	maxIdleBackoff = 5 * time.Second
	// maxUnprovenDials limits the concurrent dials to a server to which no connection is open.
	// To an unreachable server each takes dialTimeout, and two find that out as soon as more
	// would. Once one succeeds the others follow.
	maxUnprovenDials = 2
	// idleJitter spreads the dials of VMs that lost their connections at the same time.
	idleJitter = 0.5
	// brokenWindow is how long after a connection broke under a request a refused dial shows
	// that the server has ended: the connections of a process end together.
	brokenWindow = time.Second
	// peakWindow is the period over which the peak of busy connections is measured, to decide
	// how many to keep open. It is longer than the gaps between requests, and shorter than the
	// time after which servers close idle connections.
	peakWindow = 10 * time.Second
)

// Limits are the limits of the connections to one server.
type Limits struct {
	// Idle is how many are kept open without demand.
	Idle int
	// Max is the maximum number of connections.
	Max int
	// Halted is set while the server must not get requests: none is started, and none is
	// queued.
	Halted bool
}

// Server is one upstream server with the connections to it.
type Server struct {
	cfg     *Config
	process origin.Process
	addr    string

	mu     sync.Mutex
	limits Limits
	idle   []*conn
	// open counts connections, including those being opened.
	open    int
	dialing int
	// busy counts the connections with a request; window limits them, and 0 means no limit.
	busy   int
	window int
	queue  queue.Queue[*Call]
	closed bool
	// dialAfter is when a dial may be tried again, idleDialAfter the same for a connection
	// without demand. dialFails counts consecutive dials that failed.
	dialAfter     time.Duration
	idleDialAfter time.Duration
	dialFails     int
	// brokenAt is when the server last closed a connection under a request. mayHaveEnded is set
	// until it is known whether the server itself has ended, and brokenIDs are the ids of the
	// requests concerned.
	brokenAt     time.Duration
	mayHaveEnded bool
	brokenIDs    []string
	// peak tracks how many connections were busy at once recently.
	peak peak.Peak

	lastUsed time.Duration
}

// Send sends a request on a free connection, or queues it for the next one.
func (sv *Server) Send(rq Request) *Call {
	ca := &Call{rq: rq, sv: sv, sentAt: sv.cfg.Clock()}
	sv.dispatch(ca)
	return ca
}

// dispatch finds a connection for a call.
func (sv *Server) dispatch(ca *Call) {
	now := sv.cfg.Clock()
	sv.mu.Lock()
	sv.lastUsed = now
	if sv.hasCapacity() && !sv.limits.Halted {
		if cn := sv.takeIdle(now, &ca.rq); cn != nil {
			sv.countBusy(now)
			sv.mu.Unlock()
			cn.start(ca)
			return
		}
	}
	kind := sv.enqueue(now, ca)
	sv.mu.Unlock()
	if kind != "" {
		ca.fail("relay.Send", kind, false, nil)
	}
}

// countBusy counts a request that gets a connection. The caller holds the lock.
func (sv *Server) countBusy(now time.Duration) {
	sv.busy++
	sv.peak.Record(now, sv.busy)
}

func (sv *Server) hasCapacity() bool { return sv.window == 0 || sv.busy < sv.window }

// enqueue queues a call, or returns the kind of error if that is not possible.
func (sv *Server) enqueue(now time.Duration, ca *Call) Kind {
	switch {
	case sv.closed || sv.limits.Halted:
		return KindClosed
	case sv.queue.Len() >= maxQueued:
		return KindNoRoom
	case sv.open == 0 && now < sv.dialAfter && !ca.rq.AwaitConn:
		return KindBackoff
	}
	sv.queue.Push(ca.rq.Priority, ca)
	sv.dialForQueued(now)
	sv.dialAfterBackoff(now)
	return ""
}

// takeIdle returns the connection used last, so that connections that are not needed expire. If
// the same request was refused on it, the one used before it is preferred.
func (sv *Server) takeIdle(now time.Duration, rq *Request) *conn {
	if n := len(sv.idle); n > 1 && sv.idle[n-1].lastCarried(rq.ID) {
		sv.idle[n-1], sv.idle[n-2] = sv.idle[n-2], sv.idle[n-1]
	}
	for n := len(sv.idle); n > 0; n = len(sv.idle) {
		cn := sv.idle[n-1]
		if rq.FreshConn && cn.idleFor(now) > maxFreshIdle {
			if sv.open < sv.limits.Max {
				return nil
			}
			// All connections that the limit allows are old: close one to make room for a new
			// one.
			sv.idle = sv.idle[1:]
			go cn.close()
			return nil
		}
		sv.idle = sv.idle[:n-1]
		if !cn.stale(now, sv.cfg.IdleTimeout) {
			return cn
		}
		go cn.close()
	}
	return nil
}

// release returns a connection whose request has ended.
func (sv *Server) release(cn *conn) {
	sv.mu.Lock()
	sv.busy--
	sv.mu.Unlock()
	sv.put(cn)
}

// put gives a connection to a queued call, or keeps it idle.
func (sv *Server) put(cn *conn) {
	sv.mu.Lock()
	if sv.closed {
		sv.mu.Unlock()
		cn.close()
		return
	}
	if sv.queue.Len() == 0 || !sv.hasCapacity() {
		sv.idle = append(sv.idle, cn)
		sv.mu.Unlock()
		return
	}
	ca, _ := sv.queue.Pop()
	sv.countBusy(sv.cfg.Clock())
	sv.mu.Unlock()
	cn.start(ca)
}

// setWindow limits the concurrent requests, and starts a queued one if the new limit admits it.
func (sv *Server) setWindow(window int) {
	sv.mu.Lock()
	grown := window > sv.window
	sv.window = window
	var cn *conn
	if n := len(sv.idle); grown && n > 0 && sv.queue.Len() > 0 && sv.hasCapacity() {
		cn = sv.idle[n-1]
		sv.idle = sv.idle[:n-1]
	}
	sv.mu.Unlock()
	if cn != nil {
		sv.put(cn)
	}
}

// resend finds another connection for a call of which nothing was written.
func (sv *Server) resend(ca *Call) {
	sv.mu.Lock()
	sv.busy--
	sv.mu.Unlock()
	if ca.isDone() {
		return
	}
	sv.dispatch(ca)
}

// removeConn removes a closed connection from the counts.
func (sv *Server) removeConn(cn *conn, busy bool) {
	now := sv.cfg.Clock()
	sv.mu.Lock()
	sv.open--
	if busy {
		sv.busy--
	}
	if cn.wasRejected(now) {
		sv.backOff(now)
	}
	for i, other := range sv.idle {
		if other == cn {
			sv.idle = append(sv.idle[:i], sv.idle[i+1:]...)
			break
		}
	}
	sv.dialForQueued(now)
	sv.dialIfEndPossible(now)
	var failed []*Call
	if sv.open == 0 {
		failed = sv.drainNotAwaiting(now)
	}
	sv.mu.Unlock()
	for _, ca := range failed {
		ca.fail("relay.lost", KindBackoff, false, nil)
	}
	sv.cfg.Closed()
}

// dequeue removes a call from the queue and reports whether it was there.
func (sv *Server) dequeue(ca *Call) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.queue.Remove(ca)
}

// tick closes connections that are old or exceed the plan, and opens one that is needed. It
// reports whether it opened one.
func (sv *Server) tick(now time.Duration, mayOpen bool) bool {
	sv.mu.Lock()
	var old []*conn
	warm := min(sv.limits.Idle, max(1, sv.peak.Max(now)))
	kept := sv.idle[:0]
	for _, cn := range sv.idle {
		switch {
		case cn.stale(now, sv.cfg.IdleTimeout):
			sv.cfg.Count("old")
		case sv.open-len(old) > warm && cn.idleFor(now) > sv.cfg.SpareTimeout:
			sv.cfg.Count("spare")
		default:
			kept = append(kept, cn)
			continue
		}
		old = append(old, cn)
	}
	sv.idle = kept
	want := warm + len(old)
	opens := mayOpen && !sv.closed && sv.open < want && now >= max(sv.dialAfter, sv.idleDialAfter)
	if opens {
		sv.dial()
	}
	sv.mu.Unlock()
	for _, cn := range old {
		cn.close()
	}
	return opens
}

// setLimits sets the plan's limits. If the server is halted it returns the queued calls, which
// have to go to other servers.
func (sv *Server) setLimits(li Limits) []*Call {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limits = li
	if !li.Halted {
		return nil
	}
	return sv.queue.Drain()
}

// close removes the server: idle connections are closed, calls that were sent continue.
func (sv *Server) close() {
	sv.mu.Lock()
	sv.closed = true
	idle, waiting := sv.idle, sv.queue.Drain()
	sv.idle = nil
	sv.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
	for _, ca := range waiting {
		ca.fail("relay.Sync", KindClosed, false, nil)
	}
}

// Dial opens a TCP connection that detects when the other end is gone. A server that lost its
// power sends nothing more, and requests on connections to it would otherwise wait for their
// deadlines.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	di := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}, Control: setUserTimeout}
	return di.Dial("tcp", addr)
}
