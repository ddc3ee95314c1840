package origin

import "time"

// Process identifies one process of a server. A server may restart under the same ID, also at
// another address. The new process has none of the state of the earlier one, and observations
// of the earlier one do not apply to it.
type Process struct {
	ID string
	// StartMs is its start time in milliseconds since 1970; 0 if unknown.
	StartMs int64
	Addr    string
}

// Upstream is one process of a server. It is immutable.
type Upstream struct {
	// ID identifies the server.
	ID string
	// StartMs is the start time of the process in milliseconds since 1970; 0 if unknown.
	StartMs int64
	Service string
	// Addr is host and port. Another server may have used it before.
	Addr       string
	DataCentre string
	// Slots is how many requests the server processes at once.
	Slots int
	// Leaving is set once the server has announced that it will exit.
	Leaving bool
	// Evacuated is set while an operator has its data centre evacuated.
	Evacuated bool
	// ColdFor is how much longer the server stays cold, counted from when its entry was
	// written.
	ColdFor time.Duration
	// ColdKnownFrom and ColdUntil are times on the clock of the table that holds the server: it is
	// cold until ColdUntil, and before ColdKnownFrom other VMs that do not know this yet may still
	// send to it. Both are 0 if it is warm.
	ColdKnownFrom, ColdUntil time.Duration
	// Sequence increases with every entry that the process writes.
	Sequence uint64
}

// Process returns the identity of the server's process.
func (up *Upstream) Process() Process { return Process{ID: up.ID, StartMs: up.StartMs, Addr: up.Addr} }

// precedes reports whether an entry of a server is older than another one: written by an
// earlier process, or earlier by the same process.
func (up *Upstream) precedes(other *Upstream) bool {
	if up.StartMs != other.StartMs {
		return up.StartMs < other.StartMs
	}
	return up.Sequence < other.Sequence
}

// WithLeaving returns a copy of the server that is leaving.
func (up *Upstream) WithLeaving() *Upstream {
	changed := *up
	changed.Leaving = true
	return &changed
}

// WithEvacuated returns a copy of the server in an evacuated data centre.
func (up *Upstream) WithEvacuated() *Upstream {
	changed := *up
	changed.Evacuated = true
	return &changed
}

// WithCold returns a copy of the server that is cold; see ColdKnownFrom and ColdUntil.
func (up *Upstream) WithCold(from, until time.Duration) *Upstream {
	changed := *up
	changed.ColdKnownFrom, changed.ColdUntil = from, until
	return &changed
}

// Cold reports whether the server still warms up.
func (up *Upstream) Cold(now time.Duration) bool { return now < up.ColdUntil }

// Accepting reports whether the server may get new requests.
func (up *Upstream) Accepting() bool { return !up.Leaving && !up.Evacuated }

// Directory is an immutable set of servers.
type Directory struct {
	byService map[string][]*Upstream
	byID      map[string]*Upstream
}

// New returns the directory of the given servers.
func New(ups []*Upstream) *Directory {
	dir := &Directory{
		byService: make(map[string][]*Upstream),
		byID:      make(map[string]*Upstream, len(ups)),
	}
	for _, up := range ups {
		dir.byID[up.ID] = up
		dir.byService[up.Service] = append(dir.byService[up.Service], up)
	}
	return dir
}

// OfService lists the servers of a service, including those that are leaving. The caller must not
// modify the list.
func (dir *Directory) OfService(service string) []*Upstream { return dir.byService[service] }

// Find returns the server with an ID.
func (dir *Directory) Find(id string) (*Upstream, bool) {
	up, ok := dir.byID[id]
	return up, ok
}

// Has reports whether a process is in the directory. It is false if only another process of
// the same server is.
func (dir *Directory) Has(pr Process) bool {
	up, ok := dir.byID[pr.ID]
	return ok && up.Process() == pr
}

// All calls visit for every server, in no particular order.
func (dir *Directory) All(visit func(up *Upstream)) {
	for _, up := range dir.byID {
		visit(up)
	}
}

// Len returns the number of servers.
func (dir *Directory) Len() int { return len(dir.byID) }
