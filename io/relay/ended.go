package relay

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// A server that crashes closes all its connections at once and refuses new ones. A server that
// closes a single connection accepts new ones. This distinction shows whether a request may
// have crashed the server, and it has to be made before the server is back.

// maxBrokenIDs limits the requests that are reported with a server's end: as many as a server
// processes at once.
const maxBrokenIDs = 8

// noteBroken records that the server closed a connection under a request.
func (sv *Server) noteBroken(id string) {
	now := sv.cfg.Clock()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if !sv.isEndPossible(now) {
		sv.brokenIDs = nil
	}
	sv.brokenAt, sv.mayHaveEnded = now, true
	if len(sv.brokenIDs) < maxBrokenIDs {
		sv.brokenIDs = append(sv.brokenIDs, id)
	}
}

// dialIfEndPossible opens a connection at once if the last connection broke under a request.
// The caller holds the lock.
func (sv *Server) dialIfEndPossible(now time.Duration) {
	if sv.open == 0 && sv.isEndPossible(now) && !sv.closed {
		sv.dial()
	}
}

// confirmEnd reports, once, whether a failed dial shows that the server has ended, and under
// which requests. The caller holds the lock.
func (sv *Server) confirmEnd(now time.Duration, err error) (ended bool, ids []string) {
	if !sv.isEndPossible(now) || !errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	sv.mayHaveEnded = false
	return true, sv.brokenIDs
}

func (sv *Server) isEndPossible(now time.Duration) bool {
	return sv.mayHaveEnded && now-sv.brokenAt <= brokenWindow
}
