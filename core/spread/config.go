package spread

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/rank"
)

// Config sets a Machine. Zero values of the pace take the defaults.
type Config struct {
	Self rank.VM
	Rand *rand.Rand
	// Readable tells whether this build can read an update's document.
	Readable func(Update) error
	Pace     Pace
}

// Pace are the times and rates of a Machine.
type Pace struct {
	// WatchWait is how long the service is asked to hold a watch.
	WatchWait time.Duration
	// ServicePatience is waited beyond that, and for any other call: a service
	// that is slow by 10 s still counts as up.
	ServicePatience time.Duration
	// ServiceEvery is the mean time between a watching VM's calls beyond a
	// burst of ServiceBurst.
	ServiceEvery time.Duration
	ServiceBurst int
	// MaxBackoff bounds the pause after failed calls to the service.
	MaxBackoff time.Duration
	// ReadBack is the mean time after which a watching VM reads everything
	// again, should a watch have missed something.
	ReadBack time.Duration
	// ReadBackRate stretches ReadBack so that reading everything again takes
	// no more than so many bytes a second.
	ReadBackRate float64
	// ConfirmBehind is how long the service must go on holding a lower
	// revision before it is believed.
	ConfirmBehind time.Duration
	// FallbackRate bounds, for the whole fleet, the reads a second by VMs that
	// hold nothing and are not ranked.
	FallbackRate float64
	// FallbackUnlisted is the mean time between such reads of a VM that never
	// got a list of VMs.
	FallbackUnlisted time.Duration
	// CompareEvery is the mean time between a VM's comparisons.
	CompareEvery time.Duration
	// CompareGrace is waited before a difference is pulled, as most are pushes
	// still on their way.
	CompareGrace time.Duration
	// RootGrace is the mean time for which a watching VM waits for a tree that
	// another VM began before it begins one.
	RootGrace time.Duration
	// PeerTimeout bounds pushes and comparisons.
	PeerTimeout time.Duration
	// PullTimeout bounds a pull, whose answer may be large.
	PullTimeout time.Duration
	// BootPeers are compared with at once at the start.
	BootPeers int
}

// Defaults is the pace that the measurements were made with.
func Defaults() Pace {
	return Pace{
		WatchWait:        8 * time.Second,
		ServicePatience:  12 * time.Second,
		ServiceEvery:     time.Second,
		ServiceBurst:     4,
		MaxBackoff:       30 * time.Second,
		ReadBack:         5 * time.Minute,
		ReadBackRate:     1 << 10,
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

// filled takes the defaults where nothing is set.
func (pa Pace) filled() Pace {
	df := Defaults()
	fill(&pa.WatchWait, df.WatchWait)
	fill(&pa.ServicePatience, df.ServicePatience)
	fill(&pa.ServiceEvery, df.ServiceEvery)
	fill(&pa.ServiceBurst, df.ServiceBurst)
	fill(&pa.MaxBackoff, df.MaxBackoff)
	fill(&pa.ReadBack, df.ReadBack)
	fill(&pa.ReadBackRate, df.ReadBackRate)
	fill(&pa.ConfirmBehind, df.ConfirmBehind)
	fill(&pa.FallbackRate, df.FallbackRate)
	fill(&pa.FallbackUnlisted, df.FallbackUnlisted)
	fill(&pa.CompareEvery, df.CompareEvery)
	fill(&pa.CompareGrace, df.CompareGrace)
	fill(&pa.RootGrace, df.RootGrace)
	fill(&pa.PeerTimeout, df.PeerTimeout)
	fill(&pa.PullTimeout, df.PullTimeout)
	fill(&pa.BootPeers, df.BootPeers)
	return pa
}

func fill[V comparable](field *V, def V) {
	var zero V
	if *field == zero {
		*field = def
	}
}
