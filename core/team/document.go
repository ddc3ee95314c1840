package team

import "time"

// Class is the admission priority of searches under overload.
type Class string

// Admission classes in order of priority, highest first.
const (
	ClassUrgent      Class = "urgent"
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Classes lists the classes in order of priority, highest first.
func Classes() []Class {
	return []Class{ClassUrgent, ClassInteractive, ClassBatch}
}

// FormatVersion is the version of the document format that this build reads.
const FormatVersion = 1

// Document is the configuration of one team as written by its operators.
type Document struct {
	// Version is the version of the format and must be FormatVersion.
	Version int `json:"version"`
	// Team is the team's name. It must equal the name of the store's subtree that holds the
	// document.
	Team      string              `json:"team"`
	Limits    Limits              `json:"limits"`
	Searches  map[string]Search   `json:"searches"`
	Registers map[string]Register `json:"registers"`
}

// Limits bound a team's searches over all VMs together. 0 means no limit.
type Limits struct {
	// SearchesPerSecond is the maximum rate of admitted searches.
	SearchesPerSecond float64 `json:"searchesPerSecond,omitempty"`
	// Concurrent is the maximum number of searches in flight.
	Concurrent int `json:"concurrent,omitempty"`
}

// Search is the configuration of one kind of search.
type Search struct {
	Register string `json:"register"`
	Class    Class  `json:"class"`
	// SoftDeadlineMs is when an answer with at least MinCoverage is sent; 0 means at the hard
	// deadline.
	SoftDeadlineMs int64 `json:"softDeadlineMs,omitempty"`
	// HardDeadlineMs is when the answer is sent with whatever coverage it has.
	HardDeadlineMs int64 `json:"hardDeadlineMs"`
	// MinCoverage is the minimum share of shards for an answer at the soft deadline, 0 to 1.
	MinCoverage float64 `json:"minCoverage,omitempty"`
	// NeverRepeat means that every search of this kind requires a ticket and runs at most
	// once.
	NeverRepeat bool `json:"neverRepeat,omitempty"`
	// HitLimit is the maximum number of hits in an answer.
	HitLimit int `json:"hitLimit,omitempty"`
	// Hedge and Retry bound the extra attempts of the search.
	Hedge Hedge `json:"hedge"`
	Retry Retry `json:"retry"`
}

// Hedge bounds second attempts on shards whose answer is late.
type Hedge struct {
	// Quantile is the quantile of the observed latency after which a hedge is sent; 0
	// disables hedging.
	Quantile float64 `json:"quantile,omitempty"`
	// Budget is the maximum ratio of hedges to first attempts.
	Budget float64 `json:"budget,omitempty"`
	// MinDelayMs is the minimum delay before a hedge.
	MinDelayMs int64 `json:"minDelayMs,omitempty"`
}

// Retry bounds further attempts after refusals and failures.
type Retry struct {
	// Budget is the maximum ratio of retries to first attempts.
	Budget float64 `json:"budget,omitempty"`
	// PerShard is the maximum number of attempts on one shard after the first.
	PerShard int `json:"perShard,omitempty"`
}

// Register is a data set, divided into shards, and the services that hold the shards.
type Register struct {
	Services map[string]Service `json:"services"`
}

// Service is a group of servers that hold the same shards.
type Service struct {
	// SlotsPerServer is how many sub-requests a server runs at once.
	SlotsPerServer int `json:"slotsPerServer"`
	// ConnectionsPerServer is how many connections a server accepts from all VMs together.
	ConnectionsPerServer int      `json:"connectionsPerServer"`
	Servers              []Server `json:"servers"`
}

// Server is one upstream server.
type Server struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
}

// SoftDeadline returns SoftDeadlineMs as a duration, or the hard deadline if it is 0.
func (sch Search) SoftDeadline() time.Duration {
	if sch.SoftDeadlineMs == 0 {
		return sch.HardDeadline()
	}
	return time.Duration(sch.SoftDeadlineMs) * time.Millisecond
}

// HardDeadline returns HardDeadlineMs as a duration.
func (sch Search) HardDeadline() time.Duration {
	return time.Duration(sch.HardDeadlineMs) * time.Millisecond
}
