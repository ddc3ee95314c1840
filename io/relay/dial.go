package relay

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an idle connection whose other
	// end is gone within about 14 s.
	keepAliveIdle     = 8 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// unackedTimeout is how long written bytes may stay unacknowledged. It is far above any
	// round trip within a region.
	unackedTimeout = 2 * time.Second
)

// setUserTimeout sets TCP_USER_TIMEOUT, which ends a connection whose written bytes are not
// acknowledged.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
