// Package view is what the control goroutine knows, as one immutable value that
// traffic reads without a lock.
//
// # Usage
//
// The control goroutine derives a new view from the last one and publishes it:
//
//	vw = vw.WithTeam(tm).WithServers(servers)
//	published.Store(&vw)
//
// Traffic loads the pointer once per search and keeps to it, so that a search
// never mixes two configurations.
package view

import (
	"maps"

	"laburnumvane/core/team"
)

// ServerID is a server's index in View.Servers; it is stable for the life of
// the process, so that traffic can keep counters by it.
type ServerID uint32

// State is an upstream server's state as this VM sees it.
type State uint8

// States of a server. Only Cold, Serving and Shedding take new work.
const (
	StateUnknown State = iota
	StateCold
	StateServing
	StateShedding
	StateSuspect
	StateDraining
	StateGone
)

// String is the state's name in status replies and logs.
func (st State) String() string {
	names := [...]string{"unknown", "cold", "serving", "shedding", "suspect", "draining", "gone"}
	if int(st) >= len(names) {
		return "invalid"
	}
	return names[st]
}

// Leaving tells whether the server must get no new work.
func (st State) Leaving() bool {
	return st == StateDraining || st == StateGone
}

// Server is one upstream server.
type Server struct {
	ID          ServerID
	Addr        string
	DataCentre  string
	Service     string
	Team        string
	Register    string
	State       State
	Why         string
	Incarnation uint64
	Slots       int
	Connections int
	// Weight is the share of a full server's work to send, 0 to 1; low while
	// the server ramps, sheds or is suspect.
	Weight float32
}

// Team is a team's configuration in force.
type Team struct {
	Revision uint64
	ChangeID string
	Document team.Document
	// Raw is the document as its operator wrote it, but for white space.
	Raw []byte
}

// RegisterKey names a register within a team.
type RegisterKey struct {
	Team     string
	Register string
}

// View is an immutable picture. The zero value is empty and usable.
type View struct {
	teams     map[string]Team
	registers map[RegisterKey]Register
	servers   chunks
}

// Team returns the configuration in force of a team.
func (vw View) Team(name string) (Team, bool) {
	tm, ok := vw.teams[name]
	return tm, ok
}

// Teams calls yield for each team until it returns false.
func (vw View) Teams(yield func(string, Team) bool) {
	for name, tm := range vw.teams {
		if !yield(name, tm) {
			return
		}
	}
}

// Register returns a register's snapshots.
func (vw View) Register(key RegisterKey) (Register, bool) {
	rg, ok := vw.registers[key]
	return rg, ok
}

// Registers calls yield for each register until it returns false.
func (vw View) Registers(yield func(RegisterKey, Register) bool) {
	for key, rg := range vw.registers {
		if !yield(key, rg) {
			return
		}
	}
}

// Server returns a server by its id; the id must come from this view or an
// earlier one.
func (vw View) Server(id ServerID) Server {
	return *vw.servers.at(id)
}

// ServerRef returns a server without copying it. The caller must not change it.
func (vw View) ServerRef(id ServerID) *Server {
	return vw.servers.at(id)
}

// Len is the number of servers; their ids go from 0.
func (vw View) Len() int {
	return vw.servers.n
}

// Servers lists all servers, indexed by id. It copies them: it is for status
// replies and not for every event.
func (vw View) Servers() []Server {
	return vw.servers.list()
}

// WithTeam returns a view in which the team's configuration is replaced.
func (vw View) WithTeam(tm Team) View {
	teams := maps.Clone(vw.teams)
	if teams == nil {
		teams = make(map[string]Team)
	}
	teams[tm.Document.Team] = tm
	vw.teams = teams
	return vw
}

// WithServers returns a view with another list of servers.
func (vw View) WithServers(servers []Server) View {
	vw.servers = chunksOf(servers)
	return vw
}

// WithServer returns a view in which one server is replaced, or added where its
// id is Len. The cost does not grow with the number of servers, but for the
// directory of chunks.
func (vw View) WithServer(sv Server) View {
	vw.servers = vw.servers.with(sv)
	return vw
}

// WithRegisters returns a view with other registers. The map is taken over and
// must not be changed afterwards.
func (vw View) WithRegisters(registers map[RegisterKey]Register) View {
	vw.registers = registers
	return vw
}
