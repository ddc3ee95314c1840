package route

import (
	"strings"
	"time"
)

// Service is what the configuration says of a service's servers.
type Service struct {
	Name string
	// MaxConnections is how many connections one of its servers accepts from
	// all VMs together; 0 if it is not said.
	MaxConnections int
	// WarmUp is how long one of its servers is cold after its start, and WarmUpRate how many
	// requests a second it bears meanwhile, from all VMs together; 0 is no bound.
	WarmUp     time.Duration
	WarmUpRate float64
	// StatusPath is where one of its servers tells its state; empty if that is not said.
	StatusPath string
}

// Limits bound what a client may send, and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// RequestTime bounds how long a request's header takes to arrive.
	RequestTime time.Duration
	// IdleTime is how long a client's connection is kept without a request.
	IdleTime time.Duration
}

// Config is what a table is made of.
type Config struct {
	// Version rises with every change of the configuration.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is one version of all routes.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// byHost finds a route by its host and then by its whole prefix.
	byHost map[string]map[string]*Route
	routes []*Route
	// best is the best priority of all routes.
	best int
	// bounds is set if some service bounds what its servers get while they warm up.
	bounds bool
}

// New makes a table. Of two routes with the same host and prefix the first one
// stays.
func New(cfg Config) *Table {
	tb := &Table{
		version:  cfg.Version,
		limits:   cfg.Limits,
		services: make(map[string]Service, len(cfg.Services)),
		byHost:   make(map[string]map[string]*Route),
		routes:   make([]*Route, 0, len(cfg.Routes)),
	}
	for _, sv := range cfg.Services {
		tb.services[sv.Name] = sv
		tb.bounds = tb.bounds || sv.WarmUpRate > 0
	}
	for _, rt := range cfg.Routes {
		tb.add(&rt)
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
	if len(tb.routes) == 0 || rt.Priority < tb.best {
		tb.best = rt.Priority
	}
	tb.routes = append(tb.routes, rt)
}

// WithLimits is the same table with other limits.
func (tb *Table) WithLimits(li Limits) *Table {
	changed := *tb
	changed.limits = li
	return &changed
}

// Version is the version of the configuration.
func (tb *Table) Version() uint64 { return tb.version }

// Limits are those on clients.
func (tb *Table) Limits() Limits { return tb.limits }

// Routes lists all routes. The caller must not change them.
func (tb *Table) Routes() []*Route { return tb.routes }

// BestPriority is the best priority of all routes.
func (tb *Table) BestPriority() int { return tb.best }

// WarmUpBounds tells whether some service bounds what its servers get while they warm up.
func (tb *Table) WarmUpBounds() bool { return tb.bounds }

// Service tells what is known of a service.
func (tb *Table) Service(name string) (Service, bool) {
	sv, ok := tb.services[name]
	return sv, ok
}

// Match finds the route with the longest prefix that begins the path. Prefixes
// end with a slash, so only the slashes of the path are looked at: the cost does
// not grow with the number of routes. A port behind the host does not count.
func (tb *Table) Match(host, path string) (*Route, bool) {
	prefixes, ok := tb.byHost[hostName(host)]
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

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
