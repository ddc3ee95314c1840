package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/sched"
	"laburnumvane/core/view"
)

// Config sets a table.
type Config struct {
	// Rand gives jitter.
	Rand *rand.Rand
	// Last tells whether a server is the last live replica of some shard. It
	// is asked only before a server would become gone.
	Last func(view.ServerID) bool
}

// Table holds the machines of all servers that this VM knows.
type Table struct {
	cfg      Config
	machines []machine
	addrs    []string
	ids      map[string]view.ServerID
	queue    sched.Queue[wake]
	actions  []Action
}

// wake is a server's time; one that is no longer the machine's own is skipped
// when it comes up.
type wake struct {
	at time.Duration
	id view.ServerID
}

// New makes an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, ids: make(map[string]view.ServerID)}
}

// Add takes a server; ids are given in order from 0.
func (tb *Table) Add(id view.ServerID, addr string) {
	if int(id) != len(tb.machines) {
		panic("server.Table.Add: ids must be given in order")
	}
	tb.machines = append(tb.machines, newMachine())
	tb.addrs = append(tb.addrs, addr)
	tb.ids[addr] = id
}

// Len is the number of servers.
func (tb *Table) Len() int { return len(tb.machines) }

// Status is what was decided of a server.
func (tb *Table) Status(id view.ServerID) Status {
	return tb.machines[id].Status
}

// Calm tells whether a server is well and nothing is held against it, so that
// its good replies need no counting.
func (tb *Table) Calm(id view.ServerID) bool {
	mc := &tb.machines[id]
	return mc.State == view.StateServing && mc.failures == 0 && mc.score < calmScore
}

// Step takes one event of a server. The actions are valid until the next call.
func (tb *Table) Step(now time.Duration, id view.ServerID, ev Event) []Action {
	tb.actions = tb.actions[:0]
	tb.step(now, id, ev)
	return tb.actions
}

// Wake takes the time to every server that is due.
func (tb *Table) Wake(now time.Duration) []Action {
	tb.actions = tb.actions[:0]
	for wk, ok := tb.queue.Pop(now); ok; wk, ok = tb.queue.Pop(now) {
		mc := &tb.machines[wk.id]
		if wk.at != mc.queued {
			continue
		}
		mc.queued = never
		if mc.wake() > now {
			tb.enqueue(wk.id)
			continue
		}
		tb.step(now, wk.id, Event{Kind: Wake})
	}
	return tb.actions
}

// Next is when Wake is due; false where nothing waits.
func (tb *Table) Next() (time.Duration, bool) {
	return tb.queue.Next()
}

// Learn takes another VM's sign. Signs of servers that the configuration does
// not know here are dropped: the sender's document is newer, and the server's
// own refusal tells the same once this VM has it.
func (tb *Table) Learn(now time.Duration, sg Sign) []Action {
	tb.actions = tb.actions[:0]
	id, ok := tb.ids[sg.Addr]
	if !ok {
		return nil
	}
	tb.step(now, id, Event{Kind: Told, Incarnation: sg.Incarnation, Sign: sg.Kind})
	return tb.actions
}

func (tb *Table) step(now time.Duration, id view.ServerID, ev Event) {
	mc := &tb.machines[id]
	before := mc.Status
	if tb.cfg.Last != nil && mc.nearlyGone(ev) {
		ev.last = tb.cfg.Last(id)
	}
	ef := mc.handle(now, ev, tb.cfg.Rand)
	if mc.Status != before {
		tb.actions = append(tb.actions, Action{Kind: Publish, ID: id})
	}
	if ef.probe {
		tb.actions = append(tb.actions, Action{Kind: Probe, ID: id})
	}
	if ef.sign != 0 {
		sg := Sign{Addr: tb.addrs[id], Incarnation: mc.Incarnation, Kind: ef.sign}
		tb.actions = append(tb.actions, Action{Kind: Spread, ID: id, Sign: sg})
	}
	if mc.wake() < mc.queued {
		tb.enqueue(id)
	}
}

func (tb *Table) enqueue(id view.ServerID) {
	mc := &tb.machines[id]
	mc.queued = mc.wake()
	if mc.queued != never {
		tb.queue.Push(mc.queued, wake{at: mc.queued, id: id})
	}
}
