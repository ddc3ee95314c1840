package member

import (
	"time"
)

// maxQueuedUpdates bounds the updates that wait to be sent; those dropped spread by the digest
// repair.
const maxQueuedUpdates = 256

// Machine holds the membership of the fleet as seen by one VM. Create it with New.
type Machine struct {
	cfg     Config
	now     time.Duration
	started bool
	table   *table
	self    *record
	quit    bool

	// actions collects the actions of the current step.
	actions []Action
	// urgent requests that updates be sent before the next regular beat.
	urgent      bool
	urgentLimit tokenBucket

	lastExchange uint64
	exchanges    map[uint64]exchange

	targets        []*record
	targetsVersion uint64
	nextBeat       time.Duration
	lastTarget     int
	probings       map[string]*probing

	nextContact time.Duration
	lastAnswer  time.Duration

	joining        bool
	joinStarted    time.Duration
	joinAnswered   bool
	joinAfterPause bool
	joinCursor     string

	updates       *Queue[string, Member]
	relays        map[string]*relay
	diffs         map[diffKey]*diff
	relaysVersion uint64
}

// New returns a machine that knows only its own VM. Its clock starts with the first event.
func New(cfg Config) (*Machine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	ma := &Machine{
		cfg:       cfg,
		table:     newTable(cfg.Rings),
		exchanges: make(map[uint64]exchange),
		probings:  make(map[string]*probing),
		updates:   NewQueue[string, Member](maxQueuedUpdates),
		relays:    make(map[string]*relay),
		diffs:     make(map[diffKey]*diff),
		joining:   true,
	}
	ma.urgentLimit = tokenBucket{burst: cfg.UrgentBurst, rate: cfg.UrgentPerSecond, tokens: cfg.UrgentBurst}
	ma.table.merge(0, Member{VM: cfg.Self})
	ma.self = ma.table.byAddr[cfg.Self.Addr]
	return ma, nil
}

// Step processes an event and returns the actions to carry out. Now must not decrease. After Quit
// it returns nil.
func (ma *Machine) Step(now time.Duration, ev Event) []Action {
	ma.actions = nil
	if ma.quit {
		return nil
	}
	if !ma.started {
		ma.start(now)
	}
	ma.advance(now, ev)
	ev.apply(ma)
	ma.sendUrgent()
	return ma.actions
}

func (ma *Machine) start(now time.Duration) {
	ma.started = true
	ma.now = now
	ma.joinStarted = now
	ma.lastAnswer = now
	// A random phase keeps VMs started together from sending their beats at the same times.
	ma.nextBeat = now + ma.jitter(ma.beatInterval())
	ma.nextContact = now
}

func (ma *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(ma.cfg.Random.Int64N(int64(max(1, d))))
}

func (ma *Machine) emit(ac Action) {
	ma.actions = append(ma.actions, ac)
}

// Wake returns the time at which the next Tick is due.
func (ma *Machine) Wake() time.Duration {
	if !ma.started {
		return 0
	}
	at := min(ma.nextBeat, ma.nextContact)
	for _, pb := range ma.probings {
		at = min(at, pb.due())
	}
	for _, re := range ma.relays {
		at = min(at, re.next)
	}
	for _, ex := range ma.exchanges {
		at = min(at, ex.deadline)
	}
	return max(at, ma.now)
}

func (Tick) apply(ma *Machine) {
	ma.expireExchanges()
	ma.checkProbings()
	ma.sendNextBeat()
	ma.contactListed()
	ma.sendRelayBeats()
	ma.endJoin()
}

func (ev Listed) apply(ma *Machine) {
	ma.table.setListed(ev.VMs)
	// The own VM counts as listed, whatever the list contains.
	ma.self.listed = true
}

// Leave and Quit send the new state immediately, so that other VMs need not detect the stop by
// timeouts.
func (Leave) apply(ma *Machine) {
	ma.mergeState(ma.self.WithLeaving())
}

func (Quit) apply(ma *Machine) {
	ma.mergeState(ma.self.WithLeaving().WithGone())
	ma.urgentLimit.tokens = ma.urgentLimit.burst
	ma.sendUrgent()
	ma.quit = true
}

// mergeState merges a received state of another VM or a new state of this one, and forwards it if
// it changes the table.
func (ma *Machine) mergeState(mb Member) {
	if mb.Incarnation == 0 || mb.Addr == "" || mb.DataCentre == "" {
		return
	}
	before, changed := ma.table.merge(ma.now, mb)
	if !changed {
		return
	}
	now := ma.table.byAddr[mb.Addr].Member
	if !ma.joining || now.Addr == ma.self.Addr {
		// What a joining VM receives is already known to the fleet; if every new VM forwarded the
		// whole table, updates would be crowded out.
		ma.enqueueUpdate(now)
	}
	if now.State() != before {
		ma.emit(Changed{Member: now, Before: before})
	}
}

// enqueueUpdate queues an update for the data centre and for the other data centres that this VM
// relays to.
func (ma *Machine) enqueueUpdate(mb Member) {
	ma.urgent = true
	ma.updates.Put(mb.Addr, mb)
	for _, re := range ma.relays {
		re.updates.Put(mb.Addr, mb)
	}
}

// Self returns the state of this VM.
func (ma *Machine) Self() Member {
	return ma.self.Member
}

// Joining reports whether this VM has not received the membership yet, or has not caught up after a
// pause.
func (ma *Machine) Joining() bool {
	return ma.joining
}

// Recovering reports whether this VM was paused and has not caught up. It should not be sent work
// meanwhile.
func (ma *Machine) Recovering() bool {
	return ma.joining && ma.joinAfterPause
}

// Members returns all known VMs, ordered by data centre and address.
func (ma *Machine) Members() []Member {
	var out []Member
	for _, name := range ma.table.dcNames {
		for _, rc := range ma.table.dcs[name].records {
			out = append(out, rc.Member)
		}
	}
	return out
}

// Live returns the VMs in StateLive, this one included.
func (ma *Machine) Live() []VM {
	var out []VM
	for _, mb := range ma.Members() {
		if mb.State() == StateLive {
			out = append(out, mb.VM)
		}
	}
	return out
}

// Reachable reports whether any VM of this data centre has received a message from dataCentre
// recently.
func (ma *Machine) Reachable(dataCentre string) bool {
	if dataCentre == ma.self.DataCentre {
		return true
	}
	dc, ok := ma.table.dcs[dataCentre]
	if !ok || dc.lastHeard == neverHeard {
		return false
	}
	// Each message describes only one other data centre, so the more there are, the longer each
	// takes to be updated.
	limit := ma.cfg.UnreachableAfter + time.Duration(len(ma.table.dcNames))*ma.cfg.RelayEvery/2
	return ma.now-dc.lastHeard <= limit
}

// DataCentres returns the names of all data centres with known VMs, sorted.
func (ma *Machine) DataCentres() []string {
	return append([]string(nil), ma.table.dcNames...)
}
