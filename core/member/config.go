package member

import (
	"math/rand/v2"
	"time"
)

// Defaults. docs/design/fleet.md explains how they were chosen.
const (
	DefaultRings             = 3
	DefaultPeriod            = time.Second
	DefaultBeatTimeout       = 300 * time.Millisecond
	DefaultProbeTimeout      = 400 * time.Millisecond
	DefaultSuspicionTimeout  = 900 * time.Millisecond
	DefaultReprobeEvery      = 200 * time.Millisecond
	DefaultHelpers           = 3
	DefaultContactEvery      = time.Second
	DefaultRelays            = 2
	DefaultRelayEvery        = 2 * time.Second
	DefaultUnreachableAfter  = 8 * time.Second
	DefaultRejoinAfter       = 2 * time.Second
	DefaultGoneRetention     = 24 * time.Hour
	DefaultUpdatesPerMessage = 5
	DefaultRepairPageSize    = 6
	DefaultJoinPageSize      = 40
	DefaultUrgentBurst       = 4
	DefaultUrgentPerSecond   = 0.25
)

// Config configures a Machine. Self and Random are required; other zero values are replaced by the
// defaults.
type Config struct {
	Self   VM
	Random *rand.Rand

	// Rings is the number of VMs that each VM sends beats to, and receives beats from.
	Rings int
	// Period is the time between two beats to the same VM.
	Period time.Duration
	// BeatTimeout is the time after which a beat without an answer counts as failed.
	BeatTimeout time.Duration
	// ProbeTimeout is the time allowed for helpers and direct retries before a VM is suspected.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time a suspected VM has to refute before it is declared gone.
	SuspicionTimeout time.Duration
	// ReprobeEvery is the time between attempts to reach a VM that did not answer.
	ReprobeEvery time.Duration
	// Helpers is the number of VMs asked to probe a VM that does not answer; a negative number
	// disables indirect probes.
	Helpers int
	// ContactEvery is the time between attempts to contact VMs that are on the VM list but not
	// known to be live.
	ContactEvery time.Duration

	// Relays is the number of VMs of a data centre that exchange beats with another data centre.
	Relays int
	// RelayEvery is the time between two beats of a relay to a data centre.
	RelayEvery time.Duration
	// UnreachableAfter is the time without a message from a data centre after which it counts as
	// unreachable.
	UnreachableAfter time.Duration

	// RejoinAfter is the length of a pause of this process after which it treats its membership
	// table as stale and joins again.
	RejoinAfter time.Duration
	// GoneRetention is how long a VM that is gone stays in the table, so that a delayed message
	// cannot bring it back.
	GoneRetention time.Duration

	// UpdatesPerMessage bounds the updates piggybacked on a message, RepairPageSize the members
	// added to a message while digests differ, JoinPageSize the members sent to a joining VM or to
	// another data centre.
	UpdatesPerMessage int
	RepairPageSize    int
	JoinPageSize      int
	// UrgentBurst and UrgentPerSecond bound the rounds of extra beats that are sent immediately for
	// urgent updates, in addition to the regular ones.
	UrgentBurst     float64
	UrgentPerSecond float64
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
	orDefault(&cfg.ContactEvery, DefaultContactEvery)
	orDefault(&cfg.Relays, DefaultRelays)
	orDefault(&cfg.RelayEvery, DefaultRelayEvery)
	orDefault(&cfg.UnreachableAfter, DefaultUnreachableAfter)
	orDefault(&cfg.RejoinAfter, DefaultRejoinAfter)
	orDefault(&cfg.GoneRetention, DefaultGoneRetention)
	orDefault(&cfg.UpdatesPerMessage, DefaultUpdatesPerMessage)
	orDefault(&cfg.RepairPageSize, DefaultRepairPageSize)
	orDefault(&cfg.JoinPageSize, DefaultJoinPageSize)
	orDefault(&cfg.UrgentBurst, DefaultUrgentBurst)
	orDefault(&cfg.UrgentPerSecond, DefaultUrgentPerSecond)
	return cfg
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
