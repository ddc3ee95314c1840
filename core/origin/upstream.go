package origin

import "time"

// Process names one life of a server. A server may start again under its id, also
// at another address; it then knows nothing of its former life, and what was seen
// of that one says nothing of it.
type Process struct {
	ID string
	// Born is the time of its start, in milliseconds since 1970; 0 if it did not
	// say.
	Born int64
	Addr string
}

// Upstream is one process of a server. It is immutable.
type Upstream struct {
	// ID names the server.
	ID string
	// Born is the time of the process's start, in milliseconds since 1970; 0 if it
	// did not say.
	Born    int64
	Service string
	// Addr is host and port. It may have belonged to another server before.
	Addr       string
	DataCentre string
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving is set once the server said that it will exit.
	Leaving bool
	// Evacuated is set while the operator has its data centre evacuated.
	Evacuated bool
	// WarmFor is how much longer it is cold, counted from the entry's writing.
	WarmFor time.Duration
	// ColdFrom and ColdUntil are the same on the clock of the table that holds it: until
	// ColdUntil it is cold, and before ColdFrom VMs may still send to it that do not know.
	// Both are 0 if it is warm.
	ColdFrom, ColdUntil time.Duration
	// Sequence rises with every entry that the process writes.
	Sequence uint64
}

// Process names the process.
func (up *Upstream) Process() Process { return Process{ID: up.ID, Born: up.Born, Addr: up.Addr} }

// precedes tells whether what was written of a server is older than another entry
// of it: of a former life, or of the same one and before.
func (up *Upstream) precedes(other *Upstream) bool {
	if up.Born != other.Born {
		return up.Born < other.Born
	}
	return up.Sequence < other.Sequence
}

// WithLeaving is the same server on its way out.
func (up *Upstream) WithLeaving() *Upstream {
	changed := *up
	changed.Leaving = true
	return &changed
}

// WithEvacuated is the same server in a data centre that is evacuated.
func (up *Upstream) WithEvacuated() *Upstream {
	changed := *up
	changed.Evacuated = true
	return &changed
}

// WithCold is the same server while it warms up.
func (up *Upstream) WithCold(from, until time.Duration) *Upstream {
	changed := *up
	changed.ColdFrom, changed.ColdUntil = from, until
	return &changed
}

// Cold tells whether the server still warms up.
func (up *Upstream) Cold(now time.Duration) bool { return now < up.ColdUntil }

// Takes tells whether the server may get new requests.
func (up *Upstream) Takes() bool { return !up.Leaving && !up.Evacuated }

// Directory is all servers at one moment.
type Directory struct {
	byService map[string][]*Upstream
	byID      map[string]*Upstream
}

// New makes a directory.
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

// Of lists the servers of a service, those that are leaving too. The caller
// must not change the list.
func (dir *Directory) Of(service string) []*Upstream { return dir.byService[service] }

// Find looks a server up.
func (dir *Directory) Find(id string) (*Upstream, bool) {
	up, ok := dir.byID[id]
	return up, ok
}

// Has tells whether a process is there, and not only another life of its server.
func (dir *Directory) Has(pr Process) bool {
	up, ok := dir.byID[pr.ID]
	return ok && up.Process() == pr
}

// All visits every server.
func (dir *Directory) All(visit func(up *Upstream)) {
	for _, up := range dir.byID {
		visit(up)
	}
}

// Len is the number of servers.
func (dir *Directory) Len() int { return len(dir.byID) }
