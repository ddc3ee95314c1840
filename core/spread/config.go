package spread

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/rank"
)

// Config configures a Machine. Zero values in Pace take the defaults.
type Config struct {
	Self rank.VM
	Rand *rand.Rand
	// CheckReadable returns an error if this build cannot read an update's document.
	CheckReadable func(Update) error
	Pace          Pace
}

// Pace holds the intervals, time-outs and rates of a Machine.
type Pace struct {
	// WatchWait is how long the service is asked to hold a watch.
	WatchWait time.Duration
	// ServiceTimeout is the time-out of a call to the service, for a watch counted from the
	// end of its wait. With it, a service that is 10 s slow still counts as up.
	ServiceTimeout time.Duration
	// ServiceEvery is the mean time between the calls of a watching VM after a burst of
	// ServiceBurst calls.
	ServiceEvery time.Duration
	ServiceBurst int
	// MaxBackoff bounds the mean wait after failed calls to the service.
	MaxBackoff time.Duration
	// FullReadEvery is the mean time between two full reads by a watching VM, which catch
	// what a watch has missed.
	FullReadEvery time.Duration
	// FullReadRate lengthens FullReadEvery so that the full reads of a VM transfer at most
	// this many bytes a second.
	FullReadRate float64
	// ConfirmBehind is how long the service must hold a lower revision than the fleet before
	// this counts as confirmed.
	ConfirmBehind time.Duration
	// FallbackRate bounds, for the whole fleet, the reads a second by VMs that hold no update
	// and don't watch.
	FallbackRate float64
	// FallbackUnlisted is the mean time between such reads by a VM that never received a
	// list of VMs.
	FallbackUnlisted time.Duration
	// CompareEvery is the mean time between a VM's digest comparisons.
	CompareEvery time.Duration
	// CompareGrace is the mean wait before a difference is pulled: most differences are
	// pushes still in flight.
	CompareGrace time.Duration
	// RootGrace is the mean time for which a watching VM waits for the push of another VM
	// before it starts the push tree of its data centre itself.
	RootGrace time.Duration
	// PeerTimeout is the time-out of pushes and comparisons.
	PeerTimeout time.Duration
	// PullTimeout is the time-out of a pull, whose answer may be large.
	PullTimeout time.Duration
	// BootPeers is how many peers a VM compares with at once when it starts.
	BootPeers int
}

// DefaultPace returns the values with which the package was measured.
func DefaultPace() Pace {
	return Pace{
		WatchWait:        8 * time.Second,
		ServiceTimeout:   12 * time.Second,
		ServiceEvery:     time.Second,
		ServiceBurst:     4,
		MaxBackoff:       30 * time.Second,
		FullReadEvery:    5 * time.Minute,
		FullReadRate:     1 << 10,
		ConfirmBehind:    5 * time.Second,
		FallbackRate:     100,
		FallbackUnlisted: time.Minute,
		CompareEvery:     time.Second,
		CompareGrace:     200 * time.Millisecond,
		RootGrace:        200 * time.Millisecond,
		PeerTimeout:      500 * time.Millisecond,
		PullTimeout:      1500 * time.Millisecond,
		BootPeers:        3,
	}
}

// withDefaults replaces zero values by the defaults.
func (pa Pace) withDefaults() Pace {
	df := DefaultPace()
	setDefault(&pa.WatchWait, df.WatchWait)
	setDefault(&pa.ServiceTimeout, df.ServiceTimeout)
	setDefault(&pa.ServiceEvery, df.ServiceEvery)
	setDefault(&pa.ServiceBurst, df.ServiceBurst)
	setDefault(&pa.MaxBackoff, df.MaxBackoff)
	setDefault(&pa.FullReadEvery, df.FullReadEvery)
	setDefault(&pa.FullReadRate, df.FullReadRate)
	setDefault(&pa.ConfirmBehind, df.ConfirmBehind)
	setDefault(&pa.FallbackRate, df.FallbackRate)
	setDefault(&pa.FallbackUnlisted, df.FallbackUnlisted)
	setDefault(&pa.CompareEvery, df.CompareEvery)
	setDefault(&pa.CompareGrace, df.CompareGrace)
	setDefault(&pa.RootGrace, df.RootGrace)
	setDefault(&pa.PeerTimeout, df.PeerTimeout)
	setDefault(&pa.PullTimeout, df.PullTimeout)
	setDefault(&pa.BootPeers, df.BootPeers)
	return pa
}

func setDefault[V comparable](field *V, def V) {
	var zero V
	if *field == zero {
		*field = def
	}
}
