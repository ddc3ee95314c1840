package setup

import "time"

// Defaults of the settings that have one.
const (
	DefaultCallerAddr   = "127.0.0.1:7701"
	DefaultOperatorAddr = "127.0.0.1:7702"
	DefaultInnerAddr    = "127.0.0.1:7703"
	DefaultLogLevel     = "info"
	DefaultLogSample    = 100
	DefaultWorkers      = 4096
	DefaultMaxBodyBytes = 1 << 20
	DefaultBalancerLag  = 5 * time.Second
	DefaultMaxDeadline  = 60 * time.Second
	// DefaultStopGrace is DefaultBalancerLag, DefaultMaxDeadline and a little:
	// the last search may be accepted just before the balancer stops sending
	// and may use its whole deadline.
	DefaultStopGrace = 70 * time.Second
	DefaultTicketTTL = 5 * time.Minute
	DefaultTicketCap = 100_000
)

// Settings are what one VM is started with. They do not change while it runs;
// what does is the teams' configuration.
type Settings struct {
	// CallerAddr, OperatorAddr and InnerAddr are the listeners for callers,
	// operators and other VMs, each ip:port.
	CallerAddr   string
	OperatorAddr string
	InnerAddr    string
	// AdvertiseAddr is the inner address that other VMs are told; empty for
	// InnerAddr.
	AdvertiseAddr string

	DataCentre string
	Region     string

	// KV are the addresses of the key-value service, each ip:port.
	KV []string
	// VMList is the address of the VM list, ip:port.
	VMList string

	// TicketKey signs tickets on all VMs alike; empty for one of the process's
	// own, with which no VM can check the tickets of another.
	TicketKey string

	// OperatorToken allows everything on the operators' listener.
	OperatorToken string
	// TeamTokens holds each team's token, which allows changes to that team
	// only. A token is never in two places.
	TeamTokens map[string]string

	// LogLevel is trace, debug, info, warn or error.
	LogLevel string
	// LogSample logs one in so many complete searches; 0 logs none. Searches
	// that were not complete are all logged.
	LogSample int
	// Workers is the size of the pool that runs traffic.
	Workers int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int

	// BalancerLag is how long the balancer may still send requests to a VM
	// that announced its stop.
	BalancerLag time.Duration
	// StopGrace is the longest time from the signal to stop to the exit; a VM
	// with nothing in flight leaves sooner.
	StopGrace time.Duration
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline time.Duration

	// TicketTTL is how long a ticket can be used and its answer be had again.
	TicketTTL time.Duration
	// TicketCap bounds the tickets that the VM remembers.
	TicketCap int

	// Incarnation tells this process from earlier ones at the same address;
	// 0 takes it from the clock, see WithIncarnation.
	Incarnation uint64
}

// Defaults are the settings before any flag. They do not pass Check: data
// centre, region, key-value service and VM list have no default.
func Defaults() Settings {
	return Settings{
		CallerAddr:   DefaultCallerAddr,
		OperatorAddr: DefaultOperatorAddr,
		InnerAddr:    DefaultInnerAddr,
		LogLevel:     DefaultLogLevel,
		LogSample:    DefaultLogSample,
		Workers:      DefaultWorkers,
		MaxBodyBytes: DefaultMaxBodyBytes,
		BalancerLag:  DefaultBalancerLag,
		StopGrace:    DefaultStopGrace,
		MaxDeadline:  DefaultMaxDeadline,
		TicketTTL:    DefaultTicketTTL,
		TicketCap:    DefaultTicketCap,
	}
}

// Advertised is the inner address that other VMs are told.
func (se Settings) Advertised() string {
	if se.AdvertiseAddr == "" {
		return se.InnerAddr
	}
	return se.AdvertiseAddr
}

// WithIncarnation fills a missing incarnation from the clock, in microseconds:
// fine enough that no two starts of one VM share it, and still exact as a JSON
// number.
func (se Settings) WithIncarnation(now time.Time) Settings {
	if se.Incarnation == 0 {
		se.Incarnation = uint64(now.UnixMicro())
	}
	return se
}
