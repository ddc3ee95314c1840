package relay

import (
	"bufio"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"laburnumvane/core/origin"
	"laburnumvane/core/peak"
	"laburnumvane/core/queue"
	"laburnumvane/core/retry"
)

const (
	// dialTime bounds the opening of a connection: a server takes some
	// milliseconds, one that is gone never answers.
	dialTime = 1 * time.Second
	// maxWaiting bounds the requests that wait for a connection to one server.
	maxWaiting = 64
	// freshFor is how lately a connection must have been used for a request
	// that may not be sent again.
	freshFor = 500 * time.Millisecond
	// proofTime is how long, beyond the time that its opening took, a new
	// connection is watched before it is used: a reset takes a round trip.
	proofTime = time.Millisecond
	// dialBackoff is how long no connection is opened after one was refused. For one
	// that is only to be kept open it doubles with each up to warmBackoff: nobody
	// waits for it, and each opening takes a place at a server that has none left.
	dialBackoff = 200 * time.Millisecond
	warmBackoff = 5 * time.Second
	// unprovenMost bounds the openings under way at a server to which no connection is
	// open: towards one out of reach each hangs for dialTime, and it is found as soon
	// with two. Once one succeeds the others follow.
	unprovenMost = 2
	// warmJitter spreads the openings of VMs that lost their connections together.
	warmJitter = 0.5
	// brokenFor is how long after a connection broke under a request the refusal of a new
	// one shows that the server has ended: those of a process end together.
	brokenFor = time.Second
	// peakSpan is the time within which connections were in use at once that are worth
	// keeping open: longer than the gaps between requests, and shorter than the time
	// after which servers close idle connections.
	peakSpan = 10 * time.Second
)

// Limits bound the connections to one server.
type Limits struct {
	// Warm is how many are kept open without demand.
	Warm int
	// Most is how many there may be.
	Most int
	// Halted is set while the server may get no request: none is begun, and none waits.
	Halted bool
}

// Server is one upstream with the connections to it.
type Server struct {
	cfg     *Config
	process origin.Process
	addr    string

	mu     sync.Mutex
	limits Limits
	idle   []*conn
	// open counts connections, those being opened too.
	open    int
	dialing int
	// busy counts those with a request, window bounds them; 0 is no bound.
	busy    int
	window  int
	waiting queue.Line[*Call]
	shut    bool
	// backoff is when opening may be tried again, warmAt the same for one without
	// demand, and fails how many openings in a row came to nothing.
	backoff time.Duration
	warmAt  time.Duration
	fails   int
	// broken is when the server last ended a connection under a request, and doubted is
	// set until it is known whether it has ended itself.
	// Under are the ids of requests under which it did.
	broken  time.Duration
	doubted bool
	under   []string
	// peak is how many connections were busy at once lately.
	peak peak.Peak

	used time.Duration
}

// Send sends a request on a connection that is free, or on the next one that is.
func (sv *Server) Send(rq Request) *Call {
	ca := &Call{rq: rq, sv: sv}
	sv.dispatch(ca)
	return ca
}

// dispatch finds a connection for a call.
func (sv *Server) dispatch(ca *Call) {
	now := sv.cfg.Clock()
	sv.mu.Lock()
	sv.used = now
	if sv.hasRoom() && !sv.limits.Halted {
		if cn := sv.takeIdle(now, &ca.rq); cn != nil {
			sv.begin(now)
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

// begin counts a request that gets a connection. The caller holds the lock.
func (sv *Server) begin(now time.Duration) {
	sv.busy++
	sv.peak.Note(now, sv.busy)
}

func (sv *Server) hasRoom() bool { return sv.window == 0 || sv.busy < sv.window }

// enqueue lets a call wait, or tells why it may not.
func (sv *Server) enqueue(now time.Duration, ca *Call) Kind {
	switch {
	case sv.shut || sv.limits.Halted:
		return KindClosed
	case sv.waiting.Len() >= maxWaiting:
		return KindNoRoom
	case sv.open == 0 && now < sv.backoff:
		return KindBackoff
	}
	sv.waiting.Push(ca.rq.Priority, ca)
	sv.dialForWaiting(now)
	return ""
}

// takeIdle returns the connection used last, so that those not needed grow old. One
// on which the same request was refused is passed over for the one used before it.
func (sv *Server) takeIdle(now time.Duration, rq *Request) *conn {
	if n := len(sv.idle); n > 1 && sv.idle[n-1].carried(rq.ID) {
		sv.idle[n-1], sv.idle[n-2] = sv.idle[n-2], sv.idle[n-1]
	}
	for n := len(sv.idle); n > 0; n = len(sv.idle) {
		cn := sv.idle[n-1]
		if rq.Fresh && cn.idleFor(now) > freshFor {
			if sv.open < sv.limits.Most {
				return nil
			}
			// All places are taken by old ones: make room for a new one.
			sv.idle = sv.idle[1:]
			go cn.close()
			return nil
		}
		sv.idle = sv.idle[:n-1]
		if !cn.stale(now, sv.cfg.IdleClose) {
			return cn
		}
		go cn.close()
	}
	return nil
}

// dialForWaiting opens a connection if a call waits that has room but none. The caller
// holds the lock.
func (sv *Server) dialForWaiting(now time.Duration) {
	if sv.open == sv.dialing && sv.dialing >= unprovenMost {
		return
	}
	if sv.hasRoom() && sv.open < sv.limits.Most && sv.dialing < sv.waiting.Len() && now >= sv.backoff && !sv.shut {
		sv.dial()
	}
}

// dial opens a connection in the background. The caller holds the lock.
func (sv *Server) dial() {
	sv.open++
	sv.dialing++
	sv.cfg.Go(sv.connect)
}

func (sv *Server) connect() {
	sv.cfg.Count("open")
	began := sv.cfg.Clock()
	nc, err := sv.cfg.Dial(sv.addr, dialTime)
	now := sv.cfg.Clock()
	sv.cfg.Reached(sv.process, err == nil)
	if err != nil {
		sv.cfg.Count("openFailed")
		sv.dialFailed(now, err)
		return
	}
	sv.cfg.Opened()
	cn := &conn{sv: sv, nc: nc, br: bufio.NewReaderSize(nc, readBuffer), opened: now, used: now}
	go cn.read()
	// A server that has enough connections accepts one more and resets it. A
	// request on it would be lost, and could not be told from one that ran.
	time.Sleep(now - began + proofTime)
	sv.mu.Lock()
	sv.dialing--
	sv.mu.Unlock()
	if cn.isClosed() {
		// Its end was counted as a failed opening.
		sv.cfg.Count("openReset")
		return
	}
	sv.opened(cn)
}

// opened puts a new connection to use, and goes on opening what calls wait for.
func (sv *Server) opened(cn *conn) {
	sv.mu.Lock()
	sv.fails = 0
	sv.doubted = false
	sv.mu.Unlock()
	sv.put(cn)
	sv.mu.Lock()
	sv.dialForWaiting(sv.cfg.Clock())
	sv.mu.Unlock()
}

// holdOff waits before the next opening. The caller holds the lock.
func (sv *Server) holdOff(now time.Duration) {
	sv.fails++
	sv.backoff = now + dialBackoff
	warm := retry.Backoff{First: dialBackoff, Most: warmBackoff, Jitter: warmJitter}
	sv.warmAt = now + warm.Wait(sv.fails, rand.Float64())
}

// dialFailed lets the calls that wait try elsewhere, if there is no connection
// left that could serve them.
func (sv *Server) dialFailed(now time.Duration, err error) {
	sv.mu.Lock()
	sv.open--
	sv.dialing--
	sv.holdOff(now)
	var failed []*Call
	if sv.open == 0 {
		failed = sv.waiting.Drain()
	}
	ended, under := sv.endShown(now, err)
	sv.mu.Unlock()
	if ended {
		sv.cfg.Ended(sv.process, under)
	}
	for _, ca := range failed {
		ca.fail("relay.dial", KindDial, false, err)
	}
}

// free takes a connection back whose request is over.
func (sv *Server) free(cn *conn) {
	sv.mu.Lock()
	sv.busy--
	sv.mu.Unlock()
	sv.put(cn)
}

// put gives a connection to a call that waits, or keeps it.
func (sv *Server) put(cn *conn) {
	sv.mu.Lock()
	if sv.shut {
		sv.mu.Unlock()
		cn.close()
		return
	}
	if sv.waiting.Len() == 0 || !sv.hasRoom() {
		sv.idle = append(sv.idle, cn)
		sv.mu.Unlock()
		return
	}
	ca, _ := sv.waiting.Pop()
	sv.begin(sv.cfg.Clock())
	sv.mu.Unlock()
	cn.start(ca)
}

// allow bounds the requests under way, and starts one that fits now.
func (sv *Server) allow(window int) {
	sv.mu.Lock()
	grown := window > sv.window
	sv.window = window
	var cn *conn
	if n := len(sv.idle); grown && n > 0 && sv.waiting.Len() > 0 && sv.hasRoom() {
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
	if ca.isOver() {
		return
	}
	sv.dispatch(ca)
}

// lost takes a closed connection out of the counts.
func (sv *Server) lost(cn *conn, busy bool) {
	now := sv.cfg.Clock()
	sv.mu.Lock()
	sv.open--
	if busy {
		sv.busy--
	}
	if cn.wasTurnedAway(now) {
		sv.holdOff(now)
	}
	for i, other := range sv.idle {
		if other == cn {
			sv.idle = append(sv.idle[:i], sv.idle[i+1:]...)
			break
		}
	}
	sv.dialForWaiting(now)
	sv.dialIfDoubted(now)
	var failed []*Call
	if sv.open == 0 {
		failed = sv.waiting.Drain()
	}
	sv.mu.Unlock()
	for _, ca := range failed {
		ca.fail("relay.lost", KindBackoff, false, nil)
	}
	sv.cfg.Closed()
}

// withdraw takes a call out of those that wait.
func (sv *Server) withdraw(ca *Call) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.waiting.Remove(ca)
}

// tick closes connections that are old or too many and opens one that the plan
// wants; it tells whether it opened one.
func (sv *Server) tick(now time.Duration, mayOpen bool) bool {
	sv.mu.Lock()
	var old []*conn
	warm := min(sv.limits.Warm, max(1, sv.peak.Most(now)))
	kept := sv.idle[:0]
	for _, cn := range sv.idle {
		switch {
		case cn.stale(now, sv.cfg.IdleClose):
			sv.cfg.Count("old")
		case sv.open-len(old) > warm && cn.idleFor(now) > sv.cfg.SpareClose:
			sv.cfg.Count("spare")
		default:
			kept = append(kept, cn)
			continue
		}
		old = append(old, cn)
	}
	sv.idle = kept
	want := warm + len(old)
	opens := mayOpen && !sv.shut && sv.open < want && now >= max(sv.backoff, sv.warmAt)
	if opens {
		sv.dial()
	}
	sv.mu.Unlock()
	for _, cn := range old {
		cn.close()
	}
	return opens
}

// setLimits sets the plan's limits and returns the calls that have to go elsewhere, where no
// request may be begun any more.
func (sv *Server) setLimits(li Limits) []*Call {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.limits = li
	if !li.Halted {
		return nil
	}
	return sv.waiting.Drain()
}

// close gives the server up: idle connections end, calls under way go on.
func (sv *Server) close() {
	sv.mu.Lock()
	sv.shut = true
	idle, waiting := sv.idle, sv.waiting.Drain()
	sv.idle = nil
	sv.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
	for _, ca := range waiting {
		ca.fail("relay.Sync", KindClosed, false, nil)
	}
}

// Dial opens a TCP connection that notices when the other end is gone: a server
// that lost its power says nothing, and requests on connections to it would wait
// for their deadlines.
func Dial(addr string, timeout time.Duration) (net.Conn, error) {
	di := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle,
		Interval: probeInterval,
		Count:    probeCount,
	}, Control: setUserTimeout}
	return di.Dial("tcp", addr)
}
