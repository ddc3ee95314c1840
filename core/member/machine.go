package member

import (
	"time"
)

// newsRoom bounds the news that wait; what finds no room is left to the digests.
const newsRoom = 256

// Machine knows the fleet from one VM's point of view.
type Machine struct {
	cfg   Config
	now   time.Duration
	begun bool
	table *table
	self  *record
	quit  bool

	// out collects the actions of the step under way.
	out []Action
	// urgent asks for news to be sent before the next regular beat.
	urgent bool
	eager  bucket

	numbers   uint64
	exchanges map[uint64]exchange

	targets  []*record
	versions uint64
	nextBeat time.Duration
	turn     int
	watches  map[string]*watch

	nextGreet  time.Duration
	lastAnswer time.Duration

	joining   bool
	joinSince time.Duration
	joinHeard bool
	paused    bool
	cursor    string

	news   *Queue[string, Member]
	relays map[string]*relay
	diffs  map[diffKey]*diff
	placed uint64
}

// New makes a machine that knows only itself. It begins with its first event.
func New(cfg Config) (*Machine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	ma := &Machine{
		cfg:       cfg,
		table:     newTable(cfg.Rings),
		exchanges: make(map[uint64]exchange),
		watches:   make(map[string]*watch),
		news:      NewQueue[string, Member](newsRoom),
		relays:    make(map[string]*relay),
		diffs:     make(map[diffKey]*diff),
		joining:   true,
	}
	ma.eager = bucket{burst: cfg.EagerBurst, rate: cfg.EagerPerSecond, tokens: cfg.EagerBurst}
	ma.table.merge(0, Member{VM: cfg.Self})
	ma.self = ma.table.byAddr[cfg.Self.Addr]
	return ma, nil
}

// Step takes an event in. Now never goes back.
func (ma *Machine) Step(now time.Duration, ev Event) []Action {
	ma.out = nil
	if ma.quit {
		return nil
	}
	if !ma.begun {
		ma.begin(now)
	}
	ma.advance(now, ev)
	ev.apply(ma)
	ma.spread()
	return ma.out
}

func (ma *Machine) begin(now time.Duration) {
	ma.begun = true
	ma.now = now
	ma.joinSince = now
	ma.lastAnswer = now
	// A random phase keeps VMs that were started together from beating
	// together for ever.
	ma.nextBeat = now + ma.jitter(ma.beatGap())
	ma.nextGreet = now
}

func (ma *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(ma.cfg.Random.Int64N(int64(max(1, d))))
}

func (ma *Machine) do(ac Action) {
	ma.out = append(ma.out, ac)
}

// Wake is when the next Tick is due.
func (ma *Machine) Wake() time.Duration {
	if !ma.begun {
		return 0
	}
	at := min(ma.nextBeat, ma.nextGreet)
	for _, wa := range ma.watches {
		at = min(at, wa.due())
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
	ma.expire()
	ma.watch()
	ma.beat()
	ma.greet()
	ma.relay()
	ma.endJoin()
}

func (ev Listed) apply(ma *Machine) {
	ma.table.list(ev.VMs)
	// This VM is known to itself, whatever the list says.
	ma.self.listed = true
}

// Leave and Quit are told at once: what others learn from this VM itself they
// need not find out.
func (Leave) apply(ma *Machine) {
	ma.learn(ma.self.WithLeaving())
}

func (Quit) apply(ma *Machine) {
	ma.learn(ma.self.WithLeaving().WithGone())
	ma.eager.tokens = ma.eager.burst
	ma.spread()
	ma.quit = true
}

// learn merges what is told of a VM and passes on what is new.
func (ma *Machine) learn(mb Member) {
	if mb.Incarnation == 0 || mb.Addr == "" || mb.DataCentre == "" {
		return
	}
	before, news := ma.table.merge(ma.now, mb)
	if !news {
		return
	}
	now := ma.table.byAddr[mb.Addr].Member
	if !ma.joining || now.Addr == ma.self.Addr {
		// What a VM is told while it joins, the fleet knows; if each
		// newcomer passed it on, that would drown news.
		ma.tell(now)
	}
	if now.State() != before {
		ma.do(Changed{Member: now, Before: before})
	}
}

// tell queues news for the data centre and for those that this VM relays to.
func (ma *Machine) tell(mb Member) {
	ma.urgent = true
	ma.news.Put(mb.Addr, mb)
	for _, re := range ma.relays {
		re.news.Put(mb.Addr, mb)
	}
}

// Self is this VM as it knows itself.
func (ma *Machine) Self() Member {
	return ma.self.Member
}

// Joining tells that this VM does not know the fleet yet, or was paused and has
// not caught up.
func (ma *Machine) Joining() bool {
	return ma.joining
}

// Recovering tells that this VM was paused and has not caught up. It should not
// be sent work.
func (ma *Machine) Recovering() bool {
	return ma.joining && ma.paused
}

// Members lists all VMs, by data centre and address.
func (ma *Machine) Members() []Member {
	var out []Member
	for _, name := range ma.table.names {
		for _, rc := range ma.table.areas[name].records {
			out = append(out, rc.Member)
		}
	}
	return out
}

// Live lists the VMs that can take duties, this one included.
func (ma *Machine) Live() []VM {
	var out []VM
	for _, mb := range ma.Members() {
		if mb.State() == StateLive {
			out = append(out, mb.VM)
		}
	}
	return out
}

// Reachable tells whether a data centre was heard from lately, by any VM of this
// one.
func (ma *Machine) Reachable(dataCentre string) bool {
	if dataCentre == ma.self.DataCentre {
		return true
	}
	ar, ok := ma.table.areas[dataCentre]
	if !ok || ar.heard == never {
		return false
	}
	// Each message tells of one other data centre: where there are many, news
	// of each take longer to come round.
	patience := ma.cfg.UnreachableAfter + time.Duration(len(ma.table.names))*ma.cfg.RelayEvery/2
	return ma.now-ar.heard <= patience
}

// DataCentres lists the data centres that any VM is known in.
func (ma *Machine) DataCentres() []string {
	return append([]string(nil), ma.table.names...)
}
