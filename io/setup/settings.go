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
	// DefaultStopGrace is the sum of DefaultBalancerLag and DefaultMaxDeadline plus 5 s: the last
	// search may be accepted just before the balancer stops sending and may use its whole deadline.
	DefaultStopGrace = 70 * time.Second
	DefaultTicketTTL = 5 * time.Minute
	DefaultTicketCap = 100_000
)

// Settings are the start-up settings of one VM. They do not change while it runs, unlike the teams'
// configuration.
type Settings struct {
	// CallerAddr, OperatorAddr and InnerAddr are the listeners for callers,
	// operators and other VMs, each ip:port.
	CallerAddr   string
	OperatorAddr string
	InnerAddr    string
	// AdvertiseAddr is the address that other VMs use to connect to InnerAddr; empty means InnerAddr
	// itself.
	AdvertiseAddr string

	DataCentre string
	Region     string

	// KV are the addresses of the key-value service, each ip:port.
	KV []string
	// VMList is the address of the VM list, ip:port.
	VMList string

	// TicketKey is the key that signs tickets, the same on all VMs. If it is empty, the process uses a
	// key of its own, and no VM can verify the tickets of another.
	TicketKey string

	// OperatorToken allows everything on the operators' listener.
	OperatorToken string
	// TeamTokens holds the token of each team, which allows changes to that team only. All tokens
	// must differ, from OperatorToken too.
	TeamTokens map[string]string

	// LogLevel is trace, debug, info, warn or error.
	LogLevel string
	// LogSample n logs one of n complete searches; 0 logs none of them. Searches that were not
	// complete are all logged.
	LogSample int
	// Workers is the number of goroutines in the pool that handles traffic.
	Workers int
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int

	// BalancerLag is the time for which the balancer may still send requests to a VM after its
	// health check has begun to fail.
	BalancerLag time.Duration
	// StopGrace is the maximum time from the stop signal to the exit. A VM with nothing in flight
	// exits earlier.
	StopGrace time.Duration
	// MaxDeadline is the longest deadline that a caller may request.
	MaxDeadline time.Duration

	// TicketTTL is the time for which a ticket can be used and its answer can be requested again.
	TicketTTL time.Duration
	// TicketCap is the maximum number of tickets that the VM remembers.
	TicketCap int

	// Incarnation distinguishes this process from earlier ones at the same address and must increase
	// with each start. With 0, WithIncarnation takes it from the clock.
	Incarnation uint64
}

// Defaults returns the default settings. They do not pass Check, as data centre, region, key-value
// service and VM list have no default.
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

// Advertised returns the address that other VMs connect to: AdvertiseAddr, or InnerAddr if that is
// empty.
func (se Settings) Advertised() string {
	if se.AdvertiseAddr == "" {
		return se.InnerAddr
	}
	return se.AdvertiseAddr
}

// WithIncarnation returns the settings with a missing incarnation set to now in Unix microseconds.
// Microseconds are fine enough that no two starts of a VM have the same incarnation, and the number
// is still exact in JSON.
func (se Settings) WithIncarnation(now time.Time) Settings {
	if se.Incarnation == 0 {
		se.Incarnation = uint64(now.UnixMicro())
	}
	return se
}
