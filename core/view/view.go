// Package view holds the control goroutine's knowledge of teams, registers and servers in an
// immutable value that request goroutines read without a lock.
//
// # Usage
//
// The control goroutine derives a new view from the last one and publishes it:
//
//	vw = vw.WithTeam(tm).WithServers(servers)
//	published.Store(&vw)
//
// Request goroutines load the pointer once per search and keep the view, so that a search never
// mixes two configurations.
package view

import (
	"maps"

	"laburnumvane/core/team"
)

// ServerID is a server's index in View.Servers. It is stable for the lifetime of the process, so
// that counters can be indexed by it.
type ServerID uint32

// State is the state of an upstream server as seen by this VM.
type State uint8

// States of a server. Those for which Leaving is true take no new work.
const (
	StateUnknown State = iota
	StateCold
	StateServing
	StateShedding
	StateSuspect
	StateDraining
	StateGone
)

// String returns the state's name as used in status replies and logs.
func (st State) String() string {
	names := [...]string{"unknown", "cold", "serving", "shedding", "suspect", "draining", "gone"}
	if int(st) >= len(names) {
		return "invalid"
	}
	return names[st]
}

// Leaving reports whether the server must get no new work.
func (st State) Leaving() bool {
	return st == StateDraining || st == StateGone
}

// Server is an upstream server with its configuration and its state.
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
	// Weight is the share of a full server's load to send to it, from 0 to 1; it is low while the
	// server ramps up, sheds load or is suspect.
	Weight float32
}

// Team is the configuration in force of a team.
type Team struct {
	Revision uint64
	ChangeID string
	Document team.Document
	// Raw is the operator's document without insignificant white space.
	Raw []byte
}

// RegisterKey identifies a register of a team.
type RegisterKey struct {
	Team     string
	Register string
}

// View is an immutable snapshot of this VM's knowledge. The zero value is empty and usable.
type View struct {
	teams     map[string]Team
	registers map[RegisterKey]Register
	servers   chunks
}

// Team returns the configuration in force of a team; false if there is none.
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

// Register returns the snapshots of a register; false if it is not known.
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

// Server returns a server by its id. The id must come from this view or an earlier one; otherwise
// Server panics.
func (vw View) Server(id ServerID) Server {
	return *vw.servers.at(id)
}

// ServerRef returns a server without copying it. The caller must not modify it.
func (vw View) ServerRef(id ServerID) *Server {
	return vw.servers.at(id)
}

// Len returns the number of servers; their ids are below it.
func (vw View) Len() int {
	return vw.servers.n
}

// Servers returns all servers, indexed by id. It copies the whole list, so it is for status replies
// and not for frequent events.
func (vw View) Servers() []Server {
	return vw.servers.list()
}

// WithTeam returns a view with one team's configuration replaced or added.
func (vw View) WithTeam(tm Team) View {
	teams := maps.Clone(vw.teams)
	if teams == nil {
		teams = make(map[string]Team)
	}
	teams[tm.Document.Team] = tm
	vw.teams = teams
	return vw
}

// WithServers returns a view with the given list of servers; each must have its index as ID.
func (vw View) WithServers(servers []Server) View {
	vw.servers = newChunks(servers)
	return vw
}

// WithServer returns a view with one server replaced, or added if its id equals Len. Apart from
// copying the directory of chunks, the cost does not depend on the number of servers.
func (vw View) WithServer(sv Server) View {
	vw.servers = vw.servers.with(sv)
	return vw
}

// WithRegisters returns a view with the given registers. The caller must not modify the map
// afterwards.
func (vw View) WithRegisters(registers map[RegisterKey]Register) View {
	vw.registers = registers
	return vw
}
