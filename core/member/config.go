package member

import (
	"math/rand/v2"
	"time"
)

// Defaults. docs/design/fleet.md tells how they were chosen.
const (
	DefaultRings            = 3
	DefaultPeriod           = time.Second
	DefaultBeatTimeout      = 300 * time.Millisecond
	DefaultProbeTimeout     = 400 * time.Millisecond
	DefaultSuspicionTimeout = 900 * time.Millisecond
	DefaultReprobeEvery     = 200 * time.Millisecond
	DefaultHelpers          = 3
	DefaultGreetEvery       = time.Second
	DefaultRelays           = 2
	DefaultRelayEvery       = 2 * time.Second
	DefaultUnreachableAfter = 8 * time.Second
	DefaultRejoinAfter      = 2 * time.Second
	DefaultKeepGone         = 24 * time.Hour
	DefaultNewsPerMessage   = 5
	DefaultPagePerMessage   = 6
	DefaultJoinPage         = 40
	DefaultEagerBurst       = 4
	DefaultEagerPerSecond   = 0.25
)

// Config sets a machine. Self and Random are required; zero values elsewhere
// take the default.
type Config struct {
	Self   VM
	Random *rand.Rand

	// Rings is the number of VMs that each VM beats, and that beat it.
	Rings int
	// Period is the time between two beats to the same VM.
	Period time.Duration
	// BeatTimeout is when a beat counts as not answered.
	BeatTimeout time.Duration
	// ProbeTimeout is how long helpers and second tries are given.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected VM has to refute.
	SuspicionTimeout time.Duration
	// ReprobeEvery is the time between tries to reach a suspected VM.
	ReprobeEvery time.Duration
	// Helpers is the number of VMs asked to try one that does not answer; a
	// negative one asks none.
	Helpers int
	// GreetEvery is the time between tries of a VM that is on the list but
	// is not known to live.
	GreetEvery time.Duration

	// Relays is the number of VMs of a data centre that talk to another.
	Relays int
	// RelayEvery is the time between two beats of a relay.
	RelayEvery time.Duration
	// UnreachableAfter is when a data centre that was not heard from counts
	// as cut off.
	UnreachableAfter time.Duration

	// RejoinAfter is the length of a pause after which this VM takes what it
	// knows for stale.
	RejoinAfter time.Duration
	// KeepGone is how long a VM that is gone is remembered, so that no late
	// message brings it back.
	KeepGone time.Duration

	// NewsPerMessage bounds the news in a message, PagePerMessage what is
	// added while digests differ, JoinPage what a VM that joins is told.
	NewsPerMessage int
	PagePerMessage int
	JoinPage       int
	// EagerBurst and EagerPerSecond bound the rounds of beats that are sent
	// at once for urgent news, beside the regular ones.
	EagerBurst     float64
	EagerPerSecond float64
}

func (cfg Config) check() error {
	switch {
	case cfg.Self.Addr == "":
		return &Error{Op: "member.New", Kind: KindConfig, Msg: "Self.Addr is empty"}
	case cfg.Self.DataCentre == "":
		return &Error{Op: "member.New", Kind: KindConfig, Msg: "Self.DataCentre is empty"}
	case cfg.Self.Incarnation == 0:
		return &Error{Op: "member.New", Kind: KindConfig, Msg: "Self.Incarnation is 0"}
	case cfg.Random == nil:
		return &Error{Op: "member.New", Kind: KindConfig, Msg: "Random is absent"}
	}
	return nil
}

func (cfg Config) withDefaults() Config {
	orDefault(&cfg.Rings, DefaultRings)
	orDefault(&cfg.Period, DefaultPeriod)
	orDefault(&cfg.BeatTimeout, DefaultBeatTimeout)
	orDefault(&cfg.ProbeTimeout, DefaultProbeTimeout)
	orDefault(&cfg.SuspicionTimeout, DefaultSuspicionTimeout)
	orDefault(&cfg.ReprobeEvery, DefaultReprobeEvery)
	orDefault(&cfg.Helpers, DefaultHelpers)
	orDefault(&cfg.GreetEvery, DefaultGreetEvery)
	orDefault(&cfg.Relays, DefaultRelays)
	orDefault(&cfg.RelayEvery, DefaultRelayEvery)
	orDefault(&cfg.UnreachableAfter, DefaultUnreachableAfter)
	orDefault(&cfg.RejoinAfter, DefaultRejoinAfter)
	orDefault(&cfg.KeepGone, DefaultKeepGone)
	orDefault(&cfg.NewsPerMessage, DefaultNewsPerMessage)
	orDefault(&cfg.PagePerMessage, DefaultPagePerMessage)
	orDefault(&cfg.JoinPage, DefaultJoinPage)
	orDefault(&cfg.EagerBurst, DefaultEagerBurst)
	orDefault(&cfg.EagerPerSecond, DefaultEagerPerSecond)
	return cfg
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
