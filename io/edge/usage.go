package edge

import (
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time that this process has used; 0 if the kernel does not
// report it.
func processorTime() time.Duration {
	var ru unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
