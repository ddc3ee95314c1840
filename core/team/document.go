package team

import "time"

// Class orders searches when there is not room for all; a lower value goes
// first.
type Class string

// Classes of admission, first to last.
const (
	ClassUrgent      Class = "urgent"
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Classes lists the classes, first to last.
func Classes() []Class {
	return []Class{ClassUrgent, ClassInteractive, ClassBatch}
}

// FormatVersion is the version of the document that this build reads.
const FormatVersion = 1

// Document is one team's configuration, as its operators write it.
type Document struct {
	// Version is the format's version, now 1.
	Version int `json:"version"`
	// Team must equal the name of the subtree that holds the document.
	Team      string              `json:"team"`
	Limits    Limits              `json:"limits"`
	Searches  map[string]Search   `json:"searches"`
	Registers map[string]Register `json:"registers"`
}

// Limits bound a team over all VMs together. 0 means no limit.
type Limits struct {
	// SearchesPerSecond bounds the rate of admitted searches.
	SearchesPerSecond float64 `json:"searchesPerSecond,omitempty"`
	// Concurrent bounds searches in flight.
	Concurrent int `json:"concurrent,omitempty"`
}

// Search is one kind of search.
type Search struct {
	Register string `json:"register"`
	Class    Class  `json:"class"`
	// SoftDeadlineMs is when an answer with enough coverage goes out.
	SoftDeadlineMs int64 `json:"softDeadlineMs,omitempty"`
	// HardDeadlineMs is when the answer goes out with what there is.
	HardDeadlineMs int64 `json:"hardDeadlineMs"`
	// MinCoverage is the least share of shards that the soft deadline asks for.
	MinCoverage float64 `json:"minCoverage,omitempty"`
	// NeverRepeat makes every search of this kind one that needs a ticket.
	NeverRepeat bool `json:"neverRepeat,omitempty"`
	// HitLimit bounds the hits of an answer.
	HitLimit int `json:"hitLimit,omitempty"`
	// Hedge and Retry say what extra work the search may cause.
	Hedge Hedge `json:"hedge"`
	Retry Retry `json:"retry"`
}

// Hedge bounds second attempts at stragglers.
type Hedge struct {
	// Quantile of the observed latency after which a hedge goes out; 0 turns
	// hedging off.
	Quantile float64 `json:"quantile,omitempty"`
	// Budget is the share of primaries that hedges may add.
	Budget float64 `json:"budget,omitempty"`
	// MinDelayMs is the least delay before a hedge.
	MinDelayMs int64 `json:"minDelayMs,omitempty"`
}

// Retry bounds further attempts after refusals and failures.
type Retry struct {
	// Budget is the share of primaries that retries may add.
	Budget float64 `json:"budget,omitempty"`
	// PerShard bounds the attempts after the first on one shard.
	PerShard int `json:"perShard,omitempty"`
}

// Register is a register and the services that hold its shards.
type Register struct {
	Services map[string]Service `json:"services"`
}

// Service is a group of servers that hold the same shards.
type Service struct {
	// SlotsPerServer is how many sub-requests a server runs at once.
	SlotsPerServer int `json:"slotsPerServer"`
	// ConnectionsPerServer is how many connections a server accepts, from all
	// VMs together.
	ConnectionsPerServer int      `json:"connectionsPerServer"`
	Servers              []Server `json:"servers"`
}

// Server is one upstream server.
type Server struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
}

// SoftDeadline is SoftDeadlineMs as a duration; without one, the hard deadline.
func (sch Search) SoftDeadline() time.Duration {
	if sch.SoftDeadlineMs == 0 {
		return sch.HardDeadline()
	}
	return time.Duration(sch.SoftDeadlineMs) * time.Millisecond
}

// HardDeadline is HardDeadlineMs as a duration.
func (sch Search) HardDeadline() time.Duration {
	return time.Duration(sch.HardDeadlineMs) * time.Millisecond
}
