package relay

import (
	"bufio"
	"math/rand/v2"
	"time"

	"laburnumvane/core/retry"
)

// dialForQueued opens a connection if a call is queued that the window admits but no connection
// is free for. The caller holds the lock.
func (sv *Server) dialForQueued(now time.Duration) {
	if sv.open == sv.dialing && sv.dialing >= maxUnprovenDials {
		return
	}
	if sv.hasCapacity() && sv.open < sv.limits.Max && sv.dialing < sv.queue.Len() && now >= sv.dialAfter && !sv.closed {
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
	nc, err := sv.cfg.Dial(sv.addr, dialTimeout)
	now := sv.cfg.Clock()
	sv.cfg.Dialled(sv.process, err == nil)
	if err != nil {
		sv.cfg.Count("openFailed")
		sv.dialFailed(now, err)
		return
	}
	sv.cfg.Opened()
	in := &limitedReader{rd: nc, left: unlimited}
	cn := &conn{sv: sv, nc: nc, br: bufio.NewReaderSize(in, readBufferBytes), in: in, opened: now, lastUsed: now}
	go cn.readLoop()
	// A server at its connection limit accepts one more and resets it. A request lost on such a
	// connection could not be distinguished from one that ran.
	time.Sleep(now - began + verifyTime)
	sv.mu.Lock()
	sv.dialing--
	sv.mu.Unlock()
	if cn.isClosed() {
		// removeConn has already counted it as a failed dial.
		sv.cfg.Count("openReset")
		return
	}
	sv.addConn(cn)
}

// addConn puts a new connection to use, and opens another if calls are still queued.
func (sv *Server) addConn(cn *conn) {
	sv.mu.Lock()
	sv.dialFails = 0
	sv.mayHaveEnded = false
	sv.mu.Unlock()
	sv.put(cn)
	sv.mu.Lock()
	sv.dialForQueued(sv.cfg.Clock())
	sv.mu.Unlock()
}

// backOff sets the wait before the next dial. The caller holds the lock.
func (sv *Server) backOff(now time.Duration) {
	sv.dialFails++
	sv.dialAfter = now + dialBackoff
	warm := retry.Backoff{Initial: dialBackoff, Max: maxIdleBackoff, Jitter: idleJitter}
	sv.idleDialAfter = now + warm.Wait(sv.dialFails, rand.Float64())
}

// dialFailed fails the queued calls, so that they can try other servers, if no connection is
// left that could serve them.
func (sv *Server) dialFailed(now time.Duration, err error) {
	sv.mu.Lock()
	sv.open--
	sv.dialing--
	sv.backOff(now)
	var failed []*Call
	if sv.open == 0 {
		failed = sv.queue.Drain()
	}
	ended, under := sv.confirmEnd(now, err)
	sv.mu.Unlock()
	if ended {
		sv.cfg.Ended(sv.process, under)
	}
	for _, ca := range failed {
		ca.fail("relay.dial", KindDial, false, err)
	}
}
