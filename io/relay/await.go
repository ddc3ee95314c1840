package relay

import "time"

// dialAfterBackoff opens a connection at the end of the back-off if calls are queued and no
// connection is left. The caller holds the lock.
func (sv *Server) dialAfterBackoff(now time.Duration) {
	if sv.queue.Len() == 0 || sv.open > 0 || now >= sv.dialAfter {
		return
	}
	time.AfterFunc(sv.dialAfter-now, func() {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		sv.dialForQueued(sv.cfg.Clock())
	})
}

// drainNotAwaiting removes and returns the queued calls that do not wait for the end of the
// back-off. The caller holds the lock.
func (sv *Server) drainNotAwaiting(now time.Duration) (failed []*Call) {
	for _, ca := range sv.queue.Drain() {
		if ca.rq.AwaitConn {
			sv.queue.Push(ca.rq.Priority, ca)
		} else {
			failed = append(failed, ca)
		}
	}
	sv.dialAfterBackoff(now)
	return failed
}

// opensConn reports whether a connection is being opened, or will be at the end of the back-off.
func (sv *Server) opensConn() bool {
	now := sv.cfg.Clock()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.dialing > 0 || sv.open == 0 && now < sv.dialAfter
}
