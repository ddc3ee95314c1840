package probe

import "time"

// Limits are the times by which VMs are judged.
type Limits struct {
	// MinConnect is the least time that a connection may take to open. MinReply is the least time
	// after which the answer to a request, or to the question whether the process is ready for
	// one, is overdue, and MinProbeReply the least time that the
	// process may take to answer a probe.
	MinConnect    time.Duration
	MinReply      time.Duration
	MinProbeReply time.Duration
	// FreshFor is how long after an answer of a VM a request is sent on an existing connection.
	// Later, a new one is opened, and the process is asked whether it is ready: if the VM has been
	// cut off or frozen since, the request was not sent and may go to another VM.
	FreshFor time.Duration
	// ProbeInterval is the first wait between two probes of a silent VM; it doubles up to
	// MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// GiveUpUnreachable and GiveUpFrozen are how long a silent VM may hold requests that were
	// sent to it. A frozen VM accepts connections and may continue.
	GiveUpUnreachable time.Duration
	GiveUpFrozen      time.Duration
	// Neighbours is set if the other VMs of a data centre are probed when one is unreachable.
	Neighbours bool
}

// Defaults of Limits.
const (
	// Round trips take 0.2 to 2 ms and the kernel opens connections without the process, so 40 ms
	// cover a busy host.
	defaultMinConnect = 40 * time.Millisecond
	// A VM that has used up its processor share is stopped by the kernel for up to 87 ms of each
	// 100 ms.
	defaultMinReply      = 100 * time.Millisecond
	defaultMinProbeReply = 250 * time.Millisecond
	// A connection within a data centre takes 0.2 ms to open. A VM with a few requests a second
	// opens one for most requests, a VM with hundreds for none.
	defaultFreshFor         = 250 * time.Millisecond
	defaultProbeInterval    = 200 * time.Millisecond
	defaultMaxProbeInterval = 800 * time.Millisecond
	// An answer may be retransmitted once after a short disturbance, 200 ms later.
	defaultGiveUpUnreachable = 400 * time.Millisecond
	defaultGiveUpFrozen      = 1100 * time.Millisecond
)

// DefaultLimits returns the limits that are used.
func DefaultLimits() Limits {
	return Limits{
		MinConnect:        defaultMinConnect,
		MinReply:          defaultMinReply,
		MinProbeReply:     defaultMinProbeReply,
		FreshFor:          defaultFreshFor,
		ProbeInterval:     defaultProbeInterval,
		MaxProbeInterval:  defaultMaxProbeInterval,
		GiveUpUnreachable: defaultGiveUpUnreachable,
		GiveUpFrozen:      defaultGiveUpFrozen,
		Neighbours:        true,
	}
}
