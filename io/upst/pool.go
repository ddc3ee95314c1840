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

// lateBackstop ends the wait for an overdue reply where nobody calls Tick.
const lateBackstop = 5 * time.Second

// pool is the connections to one server. Its mutex guards all but the
// exchanges themselves.
type pool struct {
	cfg     Config
	stats   stats
	cancels cancels
	mu      sync.Mutex
	gate    *warm.Gate
	track   *stall.Tracker[*conn]
	// idle lists connections without an exchange, the one used last at the
	// end: taking from there lets the others age, so that they can be closed.
	idle    []*conn
	waiters waitList
	// overdue are connections whose reply may still come.
	overdue map[*conn]struct{}
	inUse   int
	shut    bool
	// probing is set while a connection beyond the limit is open for a ping.
	probing bool
	// doubted is the time up to which a reply proves nothing any more.
	doubted time.Duration
	// alarm is set when a connection was found silent, for Keep.
	alarm atomic.Bool
}

func newPool(cfg Config) *pool {
	return &pool{
		cfg: cfg,
		gate: warm.New(warm.Config{
			Limit: cfg.MaxConns,
			Floor: cfg.Floor,
			Rand:  rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Addr)))),
		}),
		track:   stall.New[*conn](stall.Config{}),
		overdue: make(map[*conn]struct{}),
		doubted: -1,
	}
}

func (po *pool) opened() int {
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
		po.drop(po.takeIdle(0))
	}
	po.feed()
}

func (po *pool) close() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.shut = true
	for len(po.idle) > 0 {
		po.drop(po.takeIdle(0))
	}
	for cn := range po.overdue {
		cn.cut()
	}
	po.failWaiters(KindClosed, nil)
}

// take returns a connection for one exchange; it must be given back by put or
// by begin and end.
func (po *pool) take(ctx context.Context) (*conn, error) {
	po.mu.Lock()
	if po.shut {
		po.mu.Unlock()
		return nil, po.fail("upst.take", KindClosed, nil)
	}
	if cn, ok := po.popIdle(); ok {
		po.use(cn)
		po.mu.Unlock()
		return cn, nil
	}
	if err := po.hopeless(); err != nil {
		po.mu.Unlock()
		return nil, err
	}
	wt := po.waiters.add()
	po.feed()
	po.mu.Unlock()
	return po.wait(ctx, wt)
}

// hopeless refuses a request for which no connection can come free soon: to let
// it wait would cost its deadline, while another server could still answer.
func (po *pool) hopeless() error {
	if po.gate.Open() > 0 || po.gate.Opening() > 0 {
		return nil
	}
	if po.gate.Limit() == 0 {
		return po.fail("upst.take", KindNoConn, nil)
	}
	if po.gate.Waiting(po.cfg.Clock()) {
		po.stats.count(evBackoff)
		return po.fail("upst.take", KindBackoff, nil)
	}
	return nil
}

// popIdle takes the idle connection used last. Those that the server has
// closed in the meantime are dropped on the way.
func (po *pool) popIdle() (*conn, bool) {
	for n := len(po.idle); n > 0; n = len(po.idle) {
		cn := po.idle[n-1]
		po.idle[n-1] = nil
		po.idle = po.idle[:n-1]
		if cn.link.alive() {
			return cn, true
		}
		po.stats.count(evStale)
		po.drop(cn)
	}
	return nil, false
}

func (po *pool) use(cn *conn) {
	now := po.cfg.Clock()
	cn.used = now
	po.inUse++
	po.gate.Used(now, po.inUse)
}

// put gives back a connection that no request went out on.
func (po *pool) put(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.release(cn)
}

// release passes a connection on: to a cancellation, to a waiter, or to the
// idle ones.
func (po *pool) release(cn *conn) {
	po.inUse--
	if po.shut || po.gate.Excess() > 0 {
		po.drop(cn)
		return
	}
	po.offer(cn)
}

func (po *pool) offer(cn *conn) {
	if id, ok := po.cancels.next(); ok {
		// It goes first: it costs one exchange without work, and frees a
		// slot of the server that a waiter's request would queue for.
		po.sendCancel(cn, id)
		return
	}
	if wt, ok := po.waiters.next(); ok {
		po.use(cn)
		wt.ch <- handout{cn: cn}
		return
	}
	po.idle = append(po.idle, cn)
}

// drop closes a connection that is in nobody's hands.
func (po *pool) drop(cn *conn) {
	cn.link.close()
	po.gate.Closed()
}

// feed opens connections for waiters, as far as the gate allows.
func (po *pool) feed() {
	now := po.cfg.Clock()
	for po.gate.Opening() < po.waiters.len() && po.gate.MayOpen(now) {
		po.open()
	}
}

// begin notes that a request goes out on a connection.
func (po *pool) begin(cn *conn, left time.Duration) {
	po.mu.Lock()
	defer po.mu.Unlock()
	now := po.cfg.Clock()
	po.track.Begin(now, cn, now+left)
}

// end takes a connection back after an exchange.
func (po *pool) end(cn *conn, end ending) {
	if end == endOverdue && po.awaitLate(cn) {
		return
	}
	po.settle(cn, end)
}

// awaitLate waits in the background for a reply that is overdue, and drops it.
// Closing the connection at the deadline instead would cost an overloaded
// server a new connection for each request that it was late with.
func (po *pool) awaitLate(cn *conn) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.shut {
		return false
	}
	po.overdue[cn] = struct{}{}
	go func() {
		end := cn.late(time.Now().Add(lateBackstop))
		if end == endUsable {
			po.stats.count(evLate)
		}
		po.settle(cn, end)
	}()
	return true
}

func (po *pool) settle(cn *conn, end ending) {
	po.mu.Lock()
	defer po.mu.Unlock()
	delete(po.overdue, cn)
	if end == endUsable {
		now := po.cfg.Clock()
		po.track.Answer(now, cn)
		cn.proved = now
		po.release(cn)
		return
	}
	po.track.Drop(cn)
	po.inUse--
	po.drop(cn)
	po.feed()
}

// ping proves a connection in use; one that fails is dropped.
func (po *pool) ping(cn *conn, left time.Duration) bool {
	began := po.cfg.Clock()
	po.stats.count(evPing)
	end, _ := cn.exchange(time.Now().Add(left), pingMessage(), nil)
	po.mu.Lock()
	defer po.mu.Unlock()
	if end == endUsable {
		cn.proved = po.cfg.Clock()
		po.track.Vouch(began)
		return true
	}
	po.stats.count(evPingFailed)
	po.foundSilent()
	po.inUse--
	po.drop(cn)
	po.feed()
	return false
}

// dropIdle closes the idle connections that were last answered on no later
// than proved.
func (po *pool) dropIdle(proved time.Duration) {
	po.mu.Lock()
	defer po.mu.Unlock()
	kept := po.idle[:0]
	for _, cn := range po.idle {
		if cn.proved > proved {
			kept = append(kept, cn)
			continue
		}
		po.drop(cn)
	}
	clear(po.idle[len(kept):])
	po.idle = kept
}

// proof tells whether a connection may be used as it is: it was answered on less
// than prove ago, and nothing was found silent since.
func (po *pool) proof(cn *conn, prove time.Duration) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	return cn.proved > po.doubted && po.cfg.Clock()-cn.proved < prove
}

// foundSilent puts all connections last answered on before now in doubt: what
// has lost the state of one has likely lost that of others.
func (po *pool) foundSilent() {
	po.doubt()
	po.alarm.Store(true)
}

func (po *pool) doubt() {
	po.doubted = po.cfg.Clock()
}

func (po *pool) failWaiters(kind Kind, err error) {
	for wt, ok := po.waiters.next(); ok; wt, ok = po.waiters.next() {
		wt.ch <- handout{err: po.fail("upst.take", kind, err)}
	}
}

// fail makes the error of a request that did not leave this VM.
func (po *pool) fail(op string, kind Kind, err error) error {
	return &Error{Op: op, Kind: kind, Addr: po.cfg.Addr, Err: err}
}
