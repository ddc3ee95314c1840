package edge

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/phuslu/log"

	"laburnumvane/core/acct"
	"laburnumvane/core/enlist"
	"laburnumvane/core/mirror"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/core/warmup"
	"laburnumvane/io/entry"
	"laburnumvane/io/follow"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindListen: listening on an address failed.
	KindListen Kind = "listen"
	// KindCut: requests were still being handled when the stop grace ended.
	KindCut Kind = "cut"
)

// Error is a failed start or stop.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause on one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings are the settings of one VM.
type Settings struct {
	Name string
	Self rank.VM
	// Regions maps data centres to regions.
	Regions map[string]string
	// Capacity is the processor time of this VM in cores.
	Capacity float64
	// LinkMbps is the rate of this VM's network link in Mbit/s; 0 means unknown.
	LinkMbps float64
	// ClientAddr, ReadyAddr, InnerAddr and MetricsAddr are the addresses to listen on. An empty
	// MetricsAddr turns metrics off.
	ClientAddr  string
	ReadyAddr   string
	InnerAddr   string
	MetricsAddr string
	MetricsPath string
	ReadyPath   string
	// Seeds are the inner addresses of some VMs; some of these may no longer exist.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// Extra limits the attempts beyond the first; this package sets Part.
	Extra entry.ExtraAttempts
	// WarmUp limits the requests to servers that are warming up.
	WarmUp warmup.Bounds
	// Quota bounds the deviation from the limits of client accounts.
	Quota acct.Bounds
	// StopGrace is the time from the stop signal to the end of the process.
	StopGrace time.Duration
	// Off lists the mechanisms that are switched off.
	Off toggle.Set
	// LeaseTime is how long the store entries of a data centre remain after its last VM has
	// gone.
	LeaseTime time.Duration
}

// Store is the platform's store, as far as this package uses it.
type Store interface {
	follow.Store
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, granted time.Duration, err error)
	// Keep renews a lease.
	Keep(ctx context.Context, lease uint64) error
	// Put writes entries, each under its lease, in one transaction.
	Put(ctx context.Context, entries []enlist.LeasedEntry) error
	// Remove deletes entries in one transaction. None is deleted if an item has a revision and
	// its entry was written since.
	Remove(ctx context.Context, items []mirror.Item) error
	// IsLeaseMissing reports whether an error means that the lease no longer exists.
	IsLeaseMissing(err error) bool
}

// Decoder decodes and encodes the store's entries.
type Decoder interface {
	// Routes decodes a configuration; ok is false if the key holds none.
	Routes(key string, value []byte) (tb *route.Table, ok bool, err error)
	// Upstream decodes a server's entry.
	Upstream(key string, value []byte) (up *origin.Upstream, ok bool, err error)
	// UpstreamID returns the id of the server to which a key belongs.
	UpstreamID(key string) (id string, ok bool)
	// Evacuation returns the data centre that is evacuated while the key exists.
	Evacuation(key string) (dataCentre string, ok bool)
	// VM decodes another VM's entry.
	VM(key string, value []byte) (vm rank.VM, capacity float64, ok bool, err error)
	// VMPrefix is the key prefix of all VMs' entries.
	VMPrefix() string
	// VMEntry encodes this VM's own entry.
	VMEntry(name string, vm rank.VM, capacity float64) (key string, value []byte)
	// Load parses a server's load report.
	Load(text string) (steer.Load, error)
	// Poison decodes the record that a VM wrote of a request under which servers crashed.
	Poison(key string, value []byte) (rd poison.Record, ok bool, err error)
	// PoisonID returns the fingerprint of the request to which a key belongs.
	PoisonID(key string) (fp poison.Fingerprint, ok bool)
	// PoisonEntry encodes the entry of such a request.
	PoisonEntry(rd poison.Record) (key string, value []byte)
}

// Config configures a VM. All fields but Dial are required.
type Config struct {
	Settings Settings
	Store    Store
	Decoder  Decoder
	Names    entry.HeaderNames
	Log      *log.Logger
	// Dial opens a connection to a server; nil means relay.Dial.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}
