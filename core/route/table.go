package route

import (
	"strings"
	"time"

	"laburnumvane/core/acct"
)

// Service is the configuration of a service's servers.
type Service struct {
	Name string
	// MaxConnections is how many connections one server accepts from all VMs together; 0 if
	// not configured.
	MaxConnections int
	// WarmUp is how long a server is cold after its start. WarmUpRate is how many requests a
	// second it can serve meanwhile, from all VMs together; 0 means no bound.
	WarmUp     time.Duration
	WarmUpRate float64
	// StatusPath is the path at which a server reports its state; empty if not configured.
	StatusPath string
}

// Limits restrict the size and duration of client requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the maximum time for a request's header to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a client's connection is kept open between requests.
	IdleTimeout time.Duration
}

// Config is the input of a Table.
type Config struct {
	// Version increases with every change of the configuration.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts are the client accounts; nil if requests need no key.
	Accounts *acct.Table
}

// Table is the immutable set of routes of one version of the configuration.
type Table struct {
	version  uint64
	limits   Limits
	accounts *acct.Table
	services map[string]Service
	// byHost holds the routes by host in lower case and then by prefix.
	byHost map[string]map[string]*Route
	routes []*Route
	// bestPriority is the lowest Priority value, that is the most urgent, of all routes and
	// accounts.
	bestPriority int
	// boundsWarmUp is set if some service has a WarmUpRate.
	boundsWarmUp bool
}

// New returns the table of a configuration. Of several routes with the same host and prefix
// the first one is used.
func New(cfg Config) *Table {
	tb := &Table{
		version:  cfg.Version,
		limits:   cfg.Limits,
		accounts: cfg.Accounts,
		services: make(map[string]Service, len(cfg.Services)),
		byHost:   make(map[string]map[string]*Route),
		routes:   make([]*Route, 0, len(cfg.Routes)),
	}
	for _, sv := range cfg.Services {
		tb.services[sv.Name] = sv
		tb.boundsWarmUp = tb.boundsWarmUp || sv.WarmUpRate > 0
	}
	for _, rt := range cfg.Routes {
		tb.add(&rt)
	}
	if cfg.Accounts != nil {
		for _, ac := range cfg.Accounts.All() {
			if ac.HasPriority {
				tb.bestPriority = min(tb.bestPriority, ac.Priority)
			}
		}
	}
	return tb
}

func (tb *Table) add(rt *Route) {
	host := strings.ToLower(rt.Host)
	prefixes, ok := tb.byHost[host]
	if !ok {
		prefixes = make(map[string]*Route)
		tb.byHost[host] = prefixes
	}
	if _, taken := prefixes[rt.Prefix]; taken {
		return
	}
	rt.digest = digestOf(rt)
	prefixes[rt.Prefix] = rt
	if len(tb.routes) == 0 || rt.Priority < tb.bestPriority {
		tb.bestPriority = rt.Priority
	}
	tb.routes = append(tb.routes, rt)
}

// WithLimits returns a copy of the table with other limits.
func (tb *Table) WithLimits(li Limits) *Table {
	changed := *tb
	changed.limits = li
	return &changed
}

// Version returns the version of the configuration.
func (tb *Table) Version() uint64 { return tb.version }

// Limits returns the limits on client requests.
func (tb *Table) Limits() Limits { return tb.limits }

// Accounts returns the client accounts, or nil if requests need no key.
func (tb *Table) Accounts() *acct.Table { return tb.accounts }

// Routes lists all routes. The caller must not modify them.
func (tb *Table) Routes() []*Route { return tb.routes }

// BestPriority returns the lowest Priority value, that is the most urgent, of all routes and of
// the accounts that have one; 0 if there are no routes.
func (tb *Table) BestPriority() int { return tb.bestPriority }

// LimitsWarmUp reports whether some service limits the requests to its servers while they
// warm up.
func (tb *Table) LimitsWarmUp() bool { return tb.boundsWarmUp }

// Service returns the configuration of a service.
func (tb *Table) Service(name string) (Service, bool) {
	sv, ok := tb.services[name]
	return sv, ok
}

// Match returns the route with the longest prefix of the path. Prefixes end with a slash, so
// only the positions of slashes in the path are tried, and the cost does not depend on the
// number of routes. A port in the host is ignored.
func (tb *Table) Match(host, path string) (*Route, bool) {
	prefixes, ok := tb.byHost[normaliseHost(host)]
	if !ok {
		return nil, false
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if rt, found := prefixes[path[:end]]; found {
			return rt, true
		}
	}
	return nil, false
}

// normaliseHost removes the port and converts to lower case.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
