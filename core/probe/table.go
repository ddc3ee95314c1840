package probe

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// wantedFor is how long a silent VM is probed after a request last considered it.
	wantedFor = 5 * time.Second
	// forgetAfter is how long a VM is remembered that no request considers.
	forgetAfter = time.Minute
	// lateTick is the lateness of a tick from which on this VM itself was stopped: answers may be
	// waiting to be read. They have as long until the tick is repeated, at most maxGrace.
	lateTick = 10 * time.Millisecond
	maxGrace = 100 * time.Millisecond
	// recentAnswer is how long after an answer a VM is not probed because of its neighbours.
	recentAnswer = 20 * time.Millisecond
	// maxNeighbours is how many VMs of a data centre are probed because one is unreachable.
	maxNeighbours = 8
)

// VM identifies another VM.
type VM struct {
	Addr       string
	DataCentre string
}

// Outcome is the result of a probe or of opening a connection.
type Outcome uint8

// Outcomes.
const (
	// Alive: the process answered.
	Alive Outcome = iota
	// Refused: the host answered that no process accepts connections.
	Refused
	// Unreachable: no connection could be opened in time.
	Unreachable
	// Frozen: a connection was opened, and the process did not answer in time.
	Frozen
)

// ActionKind is what is to be done.
type ActionKind uint8

// Kinds of actions.
const (
	// Probe: probe the VM with the given limits, and call EndProbe.
	Probe ActionKind = iota
	// GiveUp: end the requests that wait for an answer of the VM. They may have run.
	GiveUp
)

// Action is something to be done by the caller.
type Action struct {
	Kind ActionKind
	VM   VM
	// Connect and Reply limit the two steps of a probe.
	Connect, Reply time.Duration
}

// Config configures a Table.
type Config struct {
	Limits Limits
}

// Table holds what this VM knows of other VMs.
type Table struct {
	li    Limits
	mu    sync.Mutex
	peers map[string]*peer
	// active holds those that have requests in flight or are doubted: only they need checks.
	active map[string]*peer
	// due is when the next tick is expected. graceUntil is the time to which a late tick was put
	// off; 0 if none was.
	due, graceUntil time.Duration
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{li: cfg.Limits, peers: make(map[string]*peer), active: make(map[string]*peer)}
}

// Want records that a request considers the VMs.
func (tb *Table) Want(now time.Duration, vms ...VM) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, vm := range vms {
		pe, ok := tb.peers[vm.Addr]
		if !ok {
			tb.forget(now)
			pe = &peer{}
			tb.peers[vm.Addr] = pe
		}
		pe.vm, pe.wantedAt = vm, now
	}
}

// forget removes VMs that no request considers any more.
func (tb *Table) forget(now time.Duration) {
	for addr, pe := range tb.peers {
		if pe.inFlight == 0 && !pe.probing && now-pe.wantedAt > forgetAfter {
			delete(tb.peers, addr)
			delete(tb.active, addr)
		}
	}
}

// note keeps active up to date after a change of a peer.
func (tb *Table) note(pe *peer) {
	if pe.inFlight > 0 || pe.evidence > 0 || pe.probing {
		tb.active[pe.vm.Addr] = pe
		return
	}
	delete(tb.active, pe.vm.Addr)
}

// Avoid reports whether a VM should get no requests: it is silent, or a connection or a probe failed
// and the next probe has not been answered yet.
func (tb *Table) Avoid(addr string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	pe, ok := tb.peers[addr]
	return ok && (pe.silent || pe.failures > 0)
}

// Fresh reports whether a VM answered so recently that a request may use an existing connection.
func (tb *Table) Fresh(now time.Duration, addr string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	pe, ok := tb.peers[addr]
	return ok && pe.answered && now-pe.lastAnswerAt <= tb.li.FreshFor && pe.evidence == 0
}

// ConnectLimit returns how long a connection to a VM may take to open.
func (tb *Table) ConnectLimit(addr string) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if pe, ok := tb.peers[addr]; ok {
		return pe.connects.limit(tb.li.MinConnect)
	}
	return tb.li.MinConnect
}

// ContinueLimit returns how long the process of a VM may take to say that it is ready to receive a
// request.
func (tb *Table) ContinueLimit(addr string) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if pe, ok := tb.peers[addr]; ok {
		return pe.probes.limit(tb.li.MinReply)
	}
	return tb.li.MinReply
}

// Continue records that the process of a VM said that it is ready to receive a request.
func (tb *Table) Continue(now time.Duration, addr string, took time.Duration) {
	tb.update(addr, func(pe *peer) {
		pe.probes.observe(took)
		pe.recordAnswer(now)
	})
}

// Begin records that a request is sent to a VM that was given to Want.
func (tb *Table) Begin(now time.Duration, addr string) {
	tb.update(addr, func(pe *peer) {
		if pe.inFlight == 0 {
			pe.silentSince, pe.gaveUp = now, false
		}
		pe.inFlight++
	})
}

// Answer records the answer to a request and its latency.
func (tb *Table) Answer(now time.Duration, addr string, took time.Duration) {
	tb.update(addr, func(pe *peer) {
		pe.inFlight = max(0, pe.inFlight-1)
		pe.replies.observe(took)
		pe.recordAnswer(now)
	})
}

// Doubt records that a request ended without an answer because its connection failed: the VM is
// probed at once.
func (tb *Table) Doubt(now time.Duration, addr string) {
	tb.update(addr, func(pe *peer) {
		pe.inFlight = max(0, pe.inFlight-1)
		if pe.evidence == 0 {
			pe.evidence, pe.notBefore = 1, now
		}
	})
}

// Drop records that a request ended without an answer, for a reason that does not show that the
// VM is silent.
func (tb *Table) Drop(addr string) {
	tb.update(addr, func(pe *peer) { pe.inFlight = max(0, pe.inFlight-1) })
}

// Connect records how opening a connection for a request ended. Frozen means that it opened, and
// that the process did not say in time that it is ready.
func (tb *Table) Connect(now time.Duration, addr string, oc Outcome, took time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if pe, ok := tb.peers[addr]; ok {
		if oc == Alive {
			pe.connects.observe(took)
			return
		}
		tb.fail(now, pe, oc)
	}
}

// EndProbe records the outcome of a probe. It reports whether the VM is silent, and whether the
// probe changed that.
func (tb *Table) EndProbe(now time.Duration, addr string, oc Outcome, took time.Duration) (silent, changed bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	pe, ok := tb.peers[addr]
	if !ok {
		return false, false
	}
	pe.probing = false
	defer tb.note(pe)
	before := pe.silent
	if oc == Alive {
		pe.probes.observe(took)
		pe.recordAnswer(now)
		pe.notBefore = now + tb.li.ProbeInterval
		return false, before
	}
	tb.fail(now, pe, oc)
	return pe.silent, pe.silent != before
}

// fail records that no connection could be opened, or that a probe was not answered.
func (tb *Table) fail(now time.Duration, pe *peer, oc Outcome) {
	pe.failures++
	if oc == Refused {
		// The host answered: the process has ended, and its neighbours are not concerned.
		pe.silent = true
	}
	pe.doubt(oc == Frozen)
	tb.note(pe)
	pe.notBefore = now + pe.backoff(tb.li, tb.countSilent())
	if oc == Unreachable && tb.li.Neighbours {
		tb.doubtNeighbours(now, pe)
	}
}

// doubtNeighbours has other VMs of a data centre probed. They are few, because a data centre may
// have hundreds of VMs.
func (tb *Table) doubtNeighbours(now time.Duration, pe *peer) {
	var others []*peer
	for _, other := range tb.peers {
		if other != pe && other.vm.DataCentre == pe.vm.DataCentre && other.evidence == 0 &&
			(!other.answered || now-other.lastAnswerAt > recentAnswer) {
			others = append(others, other)
		}
	}
	slices.SortFunc(others, func(a, b *peer) int { return strings.Compare(a.vm.Addr, b.vm.Addr) })
	for _, other := range others[:min(len(others), maxNeighbours)] {
		other.evidence, other.notBefore = 1, now
		tb.note(other)
	}
}

func (tb *Table) countSilent() int {
	silent := 0
	for _, pe := range tb.active {
		if pe.silent {
			silent++
		}
	}
	return silent
}

// AnySilent reports whether any VM is silent.
func (tb *Table) AnySilent() bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.countSilent() > 0
}

// Next returns when Tick is to be called next; ok is false if not before the next event.
func (tb *Table) Next() (at time.Duration, ok bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.due, ok = tb.next()
	return tb.due, ok
}

func (tb *Table) next() (at time.Duration, ok bool) {
	for _, pe := range tb.active {
		for _, check := range [...]func(Limits) (time.Duration, bool){pe.probeAt, pe.giveUpAt} {
			if due, is := check(tb.li); is && (!ok || due < at) {
				at, ok = due, true
			}
		}
	}
	return max(at, tb.graceUntil), ok
}

// Tick returns what is to be done now, in the order of the VMs' addresses. If it is called late,
// this VM was stopped itself, and the first call only puts the checks off.
func (tb *Table) Tick(now time.Duration) []Action {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if late := now - tb.due; tb.graceUntil == 0 && tb.due > 0 && late > lateTick {
		tb.graceUntil = now + min(late, maxGrace)
		return nil
	}
	if now < tb.graceUntil {
		return nil
	}
	tb.graceUntil = 0
	var actions []Action
	for _, pe := range tb.active {
		if at, ok := pe.giveUpAt(tb.li); ok && at <= now {
			pe.gaveUp = true
			actions = append(actions, Action{Kind: GiveUp, VM: pe.vm})
		}
		if at, ok := pe.probeAt(tb.li); ok && at <= now {
			if pe.evidence == 0 {
				pe.evidence = 1
			}
			pe.probing = true
			actions = append(actions, Action{
				Kind: Probe, VM: pe.vm,
				Connect: pe.connects.limit(tb.li.MinConnect), Reply: pe.probes.limit(tb.li.MinProbeReply),
			})
		}
	}
	tb.due = 0
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.VM.Addr, b.VM.Addr) })
	return actions
}

func (tb *Table) update(addr string, change func(pe *peer)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if pe, ok := tb.peers[addr]; ok {
		change(pe)
		tb.note(pe)
	}
}
