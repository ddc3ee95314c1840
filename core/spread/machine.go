package spread

import (
	"cmp"
	"slices"
	"time"

	"laburnumvane/core/rank"
)

const (
	// recentLimit bounds the ids of changes that a VM can still name.
	recentLimit = 1024
	// answerBytes bounds the documents in one answer to a pull, which is
	// reached only by a VM that boots.
	answerBytes = 256 << 10
	// bulk is a number of updates beyond which they are not news but a first
	// load, which peers get by comparing.
	bulk = 64
	// maxCalls bounds the calls that wait for an answer. Pushes beyond it are
	// not sent; digests repair.
	maxCalls = 1024
	never    = time.Duration(1<<63 - 1)
)

// Machine is the distribution on one VM. It is not safe for concurrent use.
type Machine struct {
	cfg    Config
	pace   Pace
	now    time.Duration
	acts   []Action
	table  *rank.Table
	listed bool

	held  map[string]Update
	force map[string]Revision
	// forwarded is what this VM has pushed to its children.
	forwarded map[string]Revision
	alarms    map[alarmKey]string
	digest    Digest
	recent    []Revision

	deferred []deferred
	calls    []call
	last     Call

	service service
	gossip  gossip
	begun   bool
}

type alarmKey struct {
	kind AlarmKind
	team string
}

// New makes a machine that holds nothing and knows no other VM.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:       cfg,
		pace:      cfg.Pace.filled(),
		table:     rank.New(rank.Config{Self: cfg.Self}),
		held:      make(map[string]Update),
		force:     make(map[string]Revision),
		forwarded: make(map[string]Revision),
		alarms:    make(map[alarmKey]string),
	}
}

// Step takes an event and tells what to do, in order.
func (ma *Machine) Step(now time.Duration, ev Event) []Action {
	ma.acts = nil
	ma.now = max(ma.now, now)
	if !ma.begun {
		ma.begin()
	}
	ma.take(ev)
	ma.expire()
	ma.pushDeferred()
	ma.askPeers()
	ma.askService()
	return ma.acts
}

// Next is when the machine wants its next Tick.
func (ma *Machine) Next() time.Duration {
	at := min(ma.service.wake, ma.gossip.next())
	for _, df := range ma.deferred {
		at = min(at, df.at)
	}
	for _, ca := range ma.calls {
		at = min(at, ca.deadline)
	}
	return at
}

func (ma *Machine) begin() {
	ma.begun = true
	ma.service = service{tokens: float64(ma.pace.ServiceBurst), filled: ma.now}
	ma.service.fallbackAt = ma.now + ma.jittered(ma.fallbackEvery())
	ma.gossip = gossip{compareAt: never, relayAt: never, pullAt: never}
}

func (ma *Machine) take(ev Event) {
	switch ev := ev.(type) {
	case Members:
		ma.takeMembers(ev)
	case Ranged:
		ma.takeRanged(ev)
	case Watched:
		ma.takeWatched(ev)
	case Failed:
		if ca, ok := ma.endCall(ev.Call); ok {
			ma.failed(ca)
		}
	case Pushed:
		ma.dropDeferred(ev.Updates)
		if ev.From.DataCentre == ma.cfg.Self.DataCentre {
			ma.forwardHeld(ev.Updates)
		}
		ma.learnAll(ev.Updates, originOf(ev.From.DataCentre == ma.cfg.Self.DataCentre, originPush, originFar))
	case Acked:
		ma.endCall(ev.Call)
	case Beat:
		ma.takeBeat(ev)
	case Compared:
		ma.takeCompared(ev)
	case Pulled:
		ma.takePulled(ev)
	case Accepted:
		ma.learnAll([]Update{ev.Update}, originSelf)
	}
}

func (ma *Machine) takeMembers(ev Members) {
	ma.table = rank.New(rank.Config{Self: ma.cfg.Self, VMs: ev.VMs})
	if !ma.listed {
		ma.listed = true
		ma.service.fallbackAt = ma.now + ma.jittered(ma.fallbackEvery())
		ma.startBoot()
	}
}

// origin is how an update came to this VM, which tells who else must get it.
type origin uint8

const (
	// originPush: down the tree of the data centre.
	originPush origin = iota
	// originPull: a repair within the data centre; the others have it.
	originPull
	// originFar: from another data centre.
	originFar
	// originService: from the key-value service.
	originService
	// originSelf: accepted through this VM.
	originSelf
)

func originOf(near bool, nearOrigin, farOrigin origin) origin {
	if near {
		return nearOrigin
	}
	return farOrigin
}

func (ma *Machine) learnAll(ups []Update, from origin) {
	var news []Update
	for _, up := range ups {
		if ma.learn(up) {
			news = append(news, up)
		}
	}
	if len(news) > bulk {
		return
	}
	for _, up := range news {
		ma.forward(up, from)
	}
}

// learn takes an update in unless this VM has it or a newer one. This one rule
// is what keeps revisions from going down, wherever the update comes from: a
// service that answers from the past, a push that was overtaken, a peer that
// slept for an hour.
func (ma *Machine) learn(up Update) bool {
	old := ma.held[up.Team]
	if !up.Name().newer(old.Name()) {
		return false
	}
	if old.Revision == up.Revision {
		ma.alarm(AlarmSameRevision, up.Team, "changes "+old.ChangeID+" and "+up.ChangeID+" share a revision; the latter is in force")
	} else {
		ma.settled(AlarmSameRevision, up.Team)
	}
	if old.Revision > 0 {
		ma.digest = ma.digest.without(old.Name())
	}
	ma.digest = ma.digest.with(up.Name())
	ma.held[up.Team] = up
	ma.recent = append(ma.recent, up.Name())
	if len(ma.recent) > 2*recentLimit {
		ma.recent = slices.Clone(ma.recent[recentLimit:])
	}
	ma.enforce(up)
	return true
}

// enforce puts an update in force if this build can read it. One that it cannot
// read is held and passed on all the same: newer VMs can.
func (ma *Machine) enforce(up Update) {
	if err := ma.cfg.Readable(up); err != nil {
		ma.alarm(AlarmUnreadable, up.Team, "change "+up.ChangeID+" cannot be read, the one before stays in force: "+err.Error())
		return
	}
	ma.settled(AlarmUnreadable, up.Team)
	ma.force[up.Team] = up.Name()
	ma.act(Apply{Update: up})
}

// alarm raises an alarm unless it stands already with the same text.
func (ma *Machine) alarm(kind AlarmKind, team, text string) {
	key := alarmKey{kind: kind, team: team}
	if ma.alarms[key] == text {
		return
	}
	ma.alarms[key] = text
	ma.act(Alarm{Kind: kind, Team: team, Text: text, Raised: true})
}

func (ma *Machine) settled(kind AlarmKind, team string) {
	key := alarmKey{kind: kind, team: team}
	if _, ok := ma.alarms[key]; !ok {
		return
	}
	delete(ma.alarms, key)
	ma.act(Alarm{Kind: kind, Team: team})
}

// settleAll ends the alarms of some kinds for all teams.
func (ma *Machine) settleAll(kinds ...AlarmKind) {
	var over []alarmKey
	for key := range ma.alarms {
		if slices.Contains(kinds, key.kind) {
			over = append(over, key)
		}
	}
	slices.SortFunc(over, func(a, b alarmKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.team, b.team))
	})
	for _, key := range over {
		ma.settled(key.kind, key.team)
	}
}

func (ma *Machine) act(ac Action) {
	ma.acts = append(ma.acts, ac)
}

// jittered draws a time around d, from half of it to one and a half: VMs that
// began together must not stay together.
func (ma *Machine) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(ma.cfg.Rand.Int64N(int64(d)+1))
}

// Digest sums up what this VM holds.
func (ma *Machine) Digest() Digest { return ma.digest }

// Table is the ranking in use.
func (ma *Machine) Table() *rank.Table { return ma.table }

// Held lists what this VM holds, by team; of some it may be unable to read the
// newest.
func (ma *Machine) Held() []Revision {
	out := make([]Revision, 0, len(ma.held))
	for _, up := range ma.held {
		out = append(out, up.Name())
	}
	slices.SortFunc(out, func(a, b Revision) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// InForce is the revision of a team that this VM works by.
func (ma *Machine) InForce(team string) (Revision, bool) {
	rv, ok := ma.force[team]
	return rv, ok
}

// Find names the change with an id, among the last that this VM learnt.
func (ma *Machine) Find(id string) (Revision, bool) {
	for _, rv := range slices.Backward(ma.recent) {
		if rv.ChangeID == id {
			return rv, true
		}
	}
	return Revision{}, false
}

// Answer lists what a peer lacks that holds no more than held; more tells that
// the answer was cut.
func (ma *Machine) Answer(held []Revision) (ups []Update, more bool) {
	theirs := make(map[string]Revision, len(held))
	for _, rv := range held {
		theirs[rv.Team] = rv
	}
	size := 0
	for _, rv := range ma.Held() {
		if !rv.newer(theirs[rv.Team]) {
			continue
		}
		up := ma.held[rv.Team]
		if size += len(up.Document); size > answerBytes && len(ups) > 0 {
			return ups, true
		}
		ups = append(ups, up)
	}
	return ups, false
}
