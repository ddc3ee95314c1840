package relay

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// A server that crashes ends all its connections at once, and refuses new ones; one that
// ends a single connection takes new ones. Which of the two it was tells whether a request
// may be what crashed it, and has to be known before the server is back.

// mostUnder bounds the requests that are named with a server's end: as many as a server
// works on at once.
const mostUnder = 8

// noteBroken notes that the server ended a connection under a request.
func (sv *Server) noteBroken(id string) {
	now := sv.cfg.Clock()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if !sv.isDoubted(now) {
		sv.under = nil
	}
	sv.broken, sv.doubted = now, true
	if len(sv.under) < mostUnder {
		sv.under = append(sv.under, id)
	}
}

// dialIfDoubted opens a connection at once where the last one broke under a request. The
// caller holds the lock.
func (sv *Server) dialIfDoubted(now time.Duration) {
	if sv.open == 0 && sv.isDoubted(now) && !sv.shut {
		sv.dial()
	}
}

// endShown tells, once, whether a failed opening shows that the server has ended, and
// under which requests. The caller holds the lock.
func (sv *Server) endShown(now time.Duration, err error) (ended bool, under []string) {
	if !sv.isDoubted(now) || !errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	sv.doubted = false
	return true, sv.under
}

func (sv *Server) isDoubted(now time.Duration) bool {
	return sv.doubted && now-sv.broken <= brokenFor
}
