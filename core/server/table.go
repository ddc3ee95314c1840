package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/sched"
	"laburnumvane/core/view"
)

// Config configures a Table.
type Config struct {
	// Rand is the source of jitter.
	Rand *rand.Rand
	// IsLastReplica reports whether a server is the last live replica of some shard. It is called only
	// before a server would become gone. If it is nil, no server counts as a last replica.
	IsLastReplica func(view.ServerID) bool
}

// Table holds the states of all servers that this VM knows.
type Table struct {
	cfg      Config
	machines []machine
	addrs    []string
	ids      map[string]view.ServerID
	queue    sched.Queue[wake]
	actions  []Action
}

// wake is a scheduled wake of a server; it is skipped if the machine has been queued for an earlier
// time since.
type wake struct {
	at time.Duration
	id view.ServerID
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, ids: make(map[string]view.ServerID)}
}

// Add adds a server. Ids must be assigned in order from 0; otherwise Add panics.
func (tb *Table) Add(id view.ServerID, addr string) {
	if int(id) != len(tb.machines) {
		panic("server.Table.Add: ids must be given in order")
	}
	tb.machines = append(tb.machines, newMachine())
	tb.addrs = append(tb.addrs, addr)
	tb.ids[addr] = id
}

// Len returns the number of servers.
func (tb *Table) Len() int { return len(tb.machines) }

// Status returns the current status of a server.
func (tb *Table) Status(id view.ServerID) Status {
	return tb.machines[id].Status
}

// Healthy reports whether a server is serving without recent failures, so that its successful
// replies need not be reported.
func (tb *Table) Healthy(id view.ServerID) bool {
	mc := &tb.machines[id]
	return mc.State == view.StateServing && mc.failures == 0 && mc.score < negligibleScore
}

// Step handles an event of a server. The actions are valid until the next call of a method.
func (tb *Table) Step(now time.Duration, id view.ServerID, ev Event) []Action {
	tb.actions = tb.actions[:0]
	tb.step(now, id, ev)
	return tb.actions
}

// Wake steps every server whose wake time has come.
func (tb *Table) Wake(now time.Duration) []Action {
	tb.actions = tb.actions[:0]
	for wk, ok := tb.queue.Pop(now); ok; wk, ok = tb.queue.Pop(now) {
		mc := &tb.machines[wk.id]
		if wk.at != mc.queuedWake {
			continue
		}
		mc.queuedWake = never
		if mc.wake() > now {
			tb.enqueue(wk.id)
			continue
		}
		tb.step(now, wk.id, Event{Kind: Wake})
	}
	return tb.actions
}

// Next returns the time at which Wake is due; false if none is scheduled.
func (tb *Table) Next() (time.Duration, bool) {
	return tb.queue.Next()
}

// StepSign handles a sign from another VM. Signs of servers that are not in this VM's configuration
// are dropped: the sender's configuration is newer, and once this VM has it, the server's own
// refusals show the same.
func (tb *Table) StepSign(now time.Duration, sg Sign) []Action {
	tb.actions = tb.actions[:0]
	id, ok := tb.ids[sg.Addr]
	if !ok {
		return nil
	}
	tb.step(now, id, Event{Kind: SignReceived, Incarnation: sg.Incarnation, Sign: sg.Kind})
	return tb.actions
}

func (tb *Table) step(now time.Duration, id view.ServerID, ev Event) {
	mc := &tb.machines[id]
	before := mc.Status
	if tb.cfg.IsLastReplica != nil && mc.mayBecomeGone(ev) {
		ev.last = tb.cfg.IsLastReplica(id)
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
		tb.actions = append(tb.actions, Action{Kind: SendSign, ID: id, Sign: sg})
	}
	if mc.wake() < mc.queuedWake {
		tb.enqueue(id)
	}
}

func (tb *Table) enqueue(id view.ServerID) {
	mc := &tb.machines[id]
	mc.queuedWake = mc.wake()
	if mc.queuedWake != never {
		tb.queue.Push(mc.queuedWake, wake{at: mc.queuedWake, id: id})
	}
}
