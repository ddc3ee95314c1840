package node

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/team"
	"laburnumvane/core/view"
)

func docOf(name string, limit int, registers map[string][]string) team.Document {
	doc := team.Document{Team: name, Registers: map[string]team.Register{}}
	for register, addrs := range registers {
		sc := team.Service{SlotsPerServer: 3, ConnectionsPerServer: limit}
		for _, addr := range addrs {
			sc.Servers = append(sc.Servers, team.Server{Addr: addr, DataCentre: "east"})
		}
		doc.Registers[register] = team.Register{Services: map[string]team.Service{"s": sc}}
	}
	return doc
}

// Two teams share a server, which also holds two registers of one of the teams. It must have one
// id, so that it has one state and one share of its connections, and both teams must find it. When
// a team removes it, only that team's entries may go.
func TestPlacementOfSharedServer(t *testing.T) {
	is := is.New(t)
	pc := newPlacement()
	changed, added := pc.put(docOf("wash", 30, map[string][]string{"members": {"a:1", "b:1"}, "renewals": {"a:1"}}))
	is.Equal(added, []string{"a:1", "b:1"})
	is.Equal(changed, []view.ServerID{0, 1})
	changed, added = pc.put(docOf("pension", 25, map[string][]string{"members": {"a:1"}}))
	is.Equal(len(added), 0)
	is.Equal(changed, []view.ServerID{0})
	is.Equal(pc.registersOf(0, "members"), []view.RegisterKey{{Team: "pension", Register: "members"}, {Team: "wash", Register: "members"}})
	is.Equal(pc.registersOf(0, "renewals"), []view.RegisterKey{{Team: "wash", Register: "renewals"}})
	is.Equal(pc.byRegister[view.RegisterKey{Team: "wash", Register: "members"}], []view.ServerID{0, 1})

	changed, _ = pc.put(docOf("wash", 30, map[string][]string{"members": {"b:1"}}))
	is.Equal(changed, []view.ServerID{0})
	is.Equal(len(pc.entries[0]), 1)
	changed, _ = pc.put(docOf("pension", 25, nil))
	is.Equal(changed, []view.ServerID{0})
	is.Equal(len(pc.entries[0]), 0) // no configuration lists it any more
}

// A changed limit must take effect, and an unchanged document must change nothing.
func TestPlacementOfChangedLimit(t *testing.T) {
	is := is.New(t)
	pc := newPlacement()
	registers := map[string][]string{"members": {"a:1"}}
	pc.put(docOf("wash", 30, registers))
	changed, _ := pc.put(docOf("wash", 30, registers))
	is.Equal(len(changed), 0)
	changed, _ = pc.put(docOf("wash", 40, registers))
	is.Equal(changed, []view.ServerID{0})
	is.Equal(pc.entries[0][0].connections, 40)
}
