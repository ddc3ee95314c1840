package upst

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/stall"
	"laburnumvane/core/warm"
)

// lateReplyTimeout ends the wait for an overdue reply if MaintainOnce is not called.
const lateReplyTimeout = 5 * time.Second

// pool holds the connections to one server. Its mutex guards the connections' state, but is not
// held during exchanges.
type pool struct {
	cfg     Config
	stats   stats
	cancels cancelQueue
	mu      sync.Mutex
	gate    *warm.Gate
	tracker *stall.Tracker[*conn]
	// idle holds the idle connections, the most recently used last. They are taken from the
	// end, so that the others stay unused and can be closed.
	idle    []*conn
	waiters waitList
	// overdue holds the connections whose reply missed its deadline but may still come.
	overdue map[*conn]struct{}
	inUse   int
	closed  bool
	// probing is set while a connection over the limit is open for a ping.
	probing bool
	// answersVoidUntil is the time up to which an answer no longer counts as a sign that its
	// connection works.
	answersVoidUntil time.Duration
	// silentFound is set when a connection is found silent; Maintain reads and clears it.
	silentFound atomic.Bool
}

func newPool(cfg Config) *pool {
	return &pool{
		cfg: cfg,
		gate: warm.New(warm.Config{
			Limit: cfg.MaxConns,
			Floor: cfg.MinConns,
			Rand:  rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Addr)))),
		}),
		tracker:          stall.New[*conn](stall.Config{}),
		overdue:          make(map[*conn]struct{}),
		answersVoidUntil: -1,
	}
}

func (po *pool) openCount() int {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.gate.Open()
}

func (po *pool) limit() int {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.gate.Limit()
}

func (po *pool) setLimit(n int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.gate.SetLimit(n)
	for len(po.idle) > 0 && po.gate.Excess() > 0 {
		po.closeConn(po.takeIdle(0))
	}
	po.openForWaiters()
}

func (po *pool) close() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.closed = true
	for len(po.idle) > 0 {
		po.closeConn(po.takeIdle(0))
	}
	for cn := range po.overdue {
		cn.closeSilent()
	}
	po.failWaiters(KindClosed, nil)
}

// take returns a connection for one exchange. The caller must give it back with put, or with
// beginExchange and endExchange.
func (po *pool) take(ctx context.Context) (*conn, error) {
	po.mu.Lock()
	if po.closed {
		po.mu.Unlock()
		return nil, po.fail("upst.take", KindClosed, nil)
	}
	if cn, ok := po.popIdle(); ok {
		po.markUsed(cn)
		po.mu.Unlock()
		return cn, nil
	}
	if err := po.checkAvailable(); err != nil {
		po.mu.Unlock()
		return nil, err
	}
	wt := po.waiters.add()
	po.openForWaiters()
	po.mu.Unlock()
	return po.wait(ctx, wt)
}

// checkAvailable returns an error if no connection can become free soon. Waiting would then use
// up the request's deadline, while another server could still answer.
func (po *pool) checkAvailable() error {
	if po.gate.Open() > 0 || po.gate.Opening() > 0 {
		return nil
	}
	if po.gate.Limit() == 0 {
		return po.fail("upst.take", KindNoConn, nil)
	}
	if po.gate.BackingOff(po.cfg.Clock()) {
		po.stats.count(evBackoff)
		return po.fail("upst.take", KindBackoff, nil)
	}
	return nil
}

// popIdle takes the most recently used idle connection. It closes those that the server has
// closed in the meantime.
func (po *pool) popIdle() (*conn, bool) {
	for n := len(po.idle); n > 0; n = len(po.idle) {
		cn := po.idle[n-1]
		po.idle[n-1] = nil
		po.idle = po.idle[:n-1]
		if cn.tcp.alive() {
			return cn, true
		}
		po.stats.count(evStale)
		po.closeConn(cn)
	}
	return nil, false
}

func (po *pool) markUsed(cn *conn) {
	now := po.cfg.Clock()
	cn.usedAt = now
	po.inUse++
	po.gate.RecordUse(now, po.inUse)
}

// put gives back a connection on which no request was sent.
func (po *pool) put(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.release(cn)
}

// release gives a connection that is no longer in use to assign, or closes it if it is over the
// limit.
func (po *pool) release(cn *conn) {
	po.inUse--
	if po.closed || po.gate.Excess() > 0 {
		po.closeConn(cn)
		return
	}
	po.assign(cn)
}

// assign uses a free connection for a queued cancellation, for a waiter, or makes it idle.
func (po *pool) assign(cn *conn) {
	if id, ok := po.cancels.next(); ok {
		// Cancellations go first: one costs the server no work, and frees a slot that a
		// waiter's request would queue for.
		po.sendCancel(cn, id)
		return
	}
	if wt, ok := po.waiters.next(); ok {
		po.markUsed(cn)
		wt.ch <- assignment{cn: cn}
		return
	}
	po.idle = append(po.idle, cn)
}

// closeConn closes a connection that has no user.
func (po *pool) closeConn(cn *conn) {
	cn.tcp.close()
	po.gate.Closed()
}

// openForWaiters opens connections for waiters, as far as the gate allows.
func (po *pool) openForWaiters() {
	now := po.cfg.Clock()
	for po.gate.Opening() < po.waiters.len() && po.gate.MayOpen(now) {
		po.startOpening()
	}
}

// beginExchange records that a request is sent on a connection.
func (po *pool) beginExchange(cn *conn, left time.Duration) {
	po.mu.Lock()
	defer po.mu.Unlock()
	now := po.cfg.Clock()
	po.tracker.Begin(now, cn, now+left)
}

// endExchange takes a connection back after an exchange.
func (po *pool) endExchange(cn *conn, cs connState) {
	if cs == connOverdue && po.awaitLateReply(cn) {
		return
	}
	po.finishExchange(cn, cs)
}

// awaitLateReply waits in the background for an overdue reply and discards it. If the
// connection were closed at the deadline instead, an overloaded server would have to accept a
// new one for each late reply.
func (po *pool) awaitLateReply(cn *conn) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed {
		return false
	}
	po.overdue[cn] = struct{}{}
	go func() {
		cs := cn.readLate(time.Now().Add(lateReplyTimeout))
		if cs == connUsable {
			po.stats.count(evLate)
		}
		po.finishExchange(cn, cs)
	}()
	return true
}

func (po *pool) finishExchange(cn *conn, cs connState) {
	po.mu.Lock()
	defer po.mu.Unlock()
	delete(po.overdue, cn)
	if cs == connUsable {
		now := po.cfg.Clock()
		po.tracker.Answer(now, cn)
		cn.answeredAt = now
		po.release(cn)
		return
	}
	po.tracker.Drop(cn)
	po.inUse--
	po.closeConn(cn)
	po.openForWaiters()
}

// ping pings on a connection that is in use, and reports whether it was answered. If not, the
// connection is closed.
func (po *pool) ping(cn *conn, left time.Duration) bool {
	began := po.cfg.Clock()
	po.stats.count(evPing)
	cs, _ := cn.exchange(time.Now().Add(left), pingMessage(), nil)
	po.mu.Lock()
	defer po.mu.Unlock()
	if cs == connUsable {
		cn.answeredAt = po.cfg.Clock()
		po.tracker.Overtake(began)
		return true
	}
	po.stats.count(evPingFailed)
	po.noteSilent()
	po.inUse--
	po.closeConn(cn)
	po.openForWaiters()
	return false
}

// closeIdleUpTo closes the idle connections whose last answer was received no later than at.
func (po *pool) closeIdleUpTo(at time.Duration) {
	po.mu.Lock()
	defer po.mu.Unlock()
	kept := po.idle[:0]
	for _, cn := range po.idle {
		if cn.answeredAt > at {
			kept = append(kept, cn)
			continue
		}
		po.closeConn(cn)
	}
	clear(po.idle[len(kept):])
	po.idle = kept
}

// answeredWithin reports whether a connection can be used without a ping: its last answer is
// less than maxAge old, and no connection was found silent since.
func (po *pool) answeredWithin(cn *conn, maxAge time.Duration) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	return cn.answeredAt > po.answersVoidUntil && po.cfg.Clock()-cn.answeredAt < maxAge
}

// noteSilent records that a connection was found silent. All others are then pinged before their
// next use: a middlebox that has lost the state of one has probably lost that of others.
func (po *pool) noteSilent() {
	po.requirePing()
	po.silentFound.Store(true)
}

func (po *pool) requirePing() {
	po.answersVoidUntil = po.cfg.Clock()
}

func (po *pool) failWaiters(kind Kind, err error) {
	for wt, ok := po.waiters.next(); ok; wt, ok = po.waiters.next() {
		wt.ch <- assignment{err: po.fail("upst.take", kind, err)}
	}
}

// fail returns the error of a request that was not sent.
func (po *pool) fail(op string, kind Kind, err error) error {
	return &Error{Op: op, Kind: kind, Addr: po.cfg.Addr, Err: err}
}
