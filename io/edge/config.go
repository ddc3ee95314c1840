package edge

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/phuslu/log"

	"laburnumvane/core/enlist"
	"laburnumvane/core/feed"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
	"laburnumvane/core/ramp"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/entry"
	"laburnumvane/io/follow"
)

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	// KindListen: an address could not be listened on.
	KindListen Kind = "listen"
	// KindCut: requests were still under way when the grace ended.
	KindCut Kind = "cut"
)

// Error is a start or a stop that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error gives operation and kind on one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings of one VM.
type Settings struct {
	Name string
	Self rank.VM
	// Regions are those of the data centres.
	Regions map[string]string
	// Capacity is the processor time of this VM, in cores.
	Capacity float64
	// LinkMbps is the rate of this VM's link, in Mbit/s; 0 if it is not known.
	LinkMbps float64
	// ClientAddr, ReadyAddr, InnerAddr and MetricsAddr are listened on; an empty
	// MetricsAddr turns metrics off.
	ClientAddr  string
	ReadyAddr   string
	InnerAddr   string
	MetricsAddr string
	MetricsPath string
	ReadyPath   string
	// Seeds are the inner addresses of some VMs, which may be gone.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// Extra bounds the attempts beyond the first; Part is filled in here.
	Extra entry.Extra
	// WarmUp says what servers bear while they warm up.
	WarmUp ramp.Bounds
	// StopGrace is the time from the signal to the end of the process.
	StopGrace time.Duration
	// Off are the mechanisms that are switched off.
	Off toggle.Set
	// LeaseTime is how long the entries of a data centre outlive the last of its VMs.
	LeaseTime time.Duration
}

// Store is what is asked of the platform's store.
type Store interface {
	follow.Store
	// Grant takes a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, granted time.Duration, err error)
	// Keep renews it.
	Keep(ctx context.Context, lease uint64) error
	// Put writes entries, each under its lease: all of them or none.
	Put(ctx context.Context, entries []enlist.Leased) error
	// Remove takes entries away, all of them or, if one with a revision was written
	// since, none.
	Remove(ctx context.Context, items []feed.Item) error
	// Missing tells whether an error means that the lease is gone.
	Missing(err error) bool
}

// Decoder reads the store's entries. Of the results at most one is set.
type Decoder interface {
	// Routes reads a configuration; ok is false if the key holds none.
	Routes(key string, value []byte) (tb *route.Table, ok bool, err error)
	// Upstream reads a server's entry.
	Upstream(key string, value []byte) (up *origin.Upstream, ok bool, err error)
	// UpstreamID is the server that a key belongs to.
	UpstreamID(key string) (id string, ok bool)
	// Evacuation is the data centre that a key has evacuated while it stands.
	Evacuation(key string) (dataCentre string, ok bool)
	// VM reads another VM's entry.
	VM(key string, value []byte) (vm rank.VM, capacity float64, ok bool, err error)
	// VMPrefix begins the keys of all VMs' entries.
	VMPrefix() string
	// VMEntry is this VM's own.
	VMEntry(name string, vm rank.VM, capacity float64) (key string, value []byte)
	// Load reads what a server tells of how busy it is.
	Load(text string) (steer.Load, error)
	// Poison reads what a VM wrote of a request under which servers ended.
	Poison(key string, value []byte) (rd poison.Record, ok bool, err error)
	// PoisonID is the request that a key belongs to.
	PoisonID(key string) (fp poison.Fingerprint, ok bool)
	// PoisonEntry is the entry of such a request.
	PoisonEntry(rd poison.Record) (key string, value []byte)
}

// Config sets a VM. All fields but Dial are required.
type Config struct {
	Settings Settings
	Store    Store
	Decoder  Decoder
	Names    entry.Names
	Log      *log.Logger
	// Dial opens a connection to a server; nil takes that of relay.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}
