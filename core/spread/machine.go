package spread

import (
	"cmp"
	"slices"
	"time"

	"laburnumvane/core/rank"
)

const (
	// maxRecent bounds the ids of past changes that FindChange can look up.
	maxRecent = 1024
	// maxAnswerBytes bounds the documents in one answer to a pull. Only the answer to a VM
	// that boots reaches it.
	maxAnswerBytes = 256 << 10
	// maxForwarded is the largest number of updates in one message that are forwarded. More
	// are an initial load, which peers get by comparing.
	maxForwarded = 64
	// maxCalls bounds the pending calls. Pushes beyond it are not sent; the comparison of
	// digests repairs that.
	maxCalls = 1024
	never    = time.Duration(1<<63 - 1)
)

// Machine distributes updates on one VM. It is not safe for concurrent use.
type Machine struct {
	cfg        Config
	pace       Pace
	now        time.Duration
	actions    []Action
	table      *rank.Table
	hasMembers bool

	held    map[string]Update
	inForce map[string]Revision
	// forwarded holds the last update of each team that this VM pushed to its children.
	forwarded map[string]Revision
	alarms    map[alarmKey]string
	digest    Digest
	recent    []Revision

	deferred []deferred
	calls    []call
	lastCall CallID

	service service
	gossip  gossip
	started bool
}

type alarmKey struct {
	kind AlarmKind
	team string
}

// New returns a machine without updates and without other VMs.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:       cfg,
		pace:      cfg.Pace.withDefaults(),
		table:     rank.New(rank.Config{Self: cfg.Self}),
		held:      make(map[string]Update),
		inForce:   make(map[string]Revision),
		forwarded: make(map[string]Revision),
		alarms:    make(map[alarmKey]string),
	}
}

// Step handles an event and returns the actions to carry out, in order.
func (ma *Machine) Step(now time.Duration, ev Event) []Action {
	ma.actions = nil
	ma.now = max(ma.now, now)
	if !ma.started {
		ma.start()
	}
	ma.handle(ev)
	ma.expire()
	ma.pushDeferred()
	ma.askPeers()
	ma.askService()
	return ma.actions
}

// Next returns when the machine needs its next Tick.
func (ma *Machine) Next() time.Duration {
	at := min(ma.service.wakeAt, ma.gossip.next())
	for _, df := range ma.deferred {
		at = min(at, df.at)
	}
	for _, ca := range ma.calls {
		at = min(at, ca.deadline)
	}
	return at
}

func (ma *Machine) start() {
	ma.started = true
	ma.service = service{tokens: float64(ma.pace.ServiceBurst), filledAt: ma.now}
	ma.service.fallbackAt = ma.now + ma.jittered(ma.fallbackEvery())
	ma.gossip = gossip{localCompareAt: never, remoteCompareAt: never, pullAt: never}
}

func (ma *Machine) handle(ev Event) {
	switch ev := ev.(type) {
	case Members:
		ma.handleMembers(ev)
	case Ranged:
		ma.handleRanged(ev)
	case Watched:
		ma.handleWatched(ev)
	case Failed:
		if ca, ok := ma.endCall(ev.Call); ok {
			ma.failed(ca)
		}
	case Pushed:
		ma.dropDeferred(ev.Updates)
		if ev.From.DataCentre == ma.cfg.Self.DataCentre {
			ma.forwardHeld(ev.Updates)
		}
		ma.mergeAll(ev.Updates, originOf(ev.From.DataCentre == ma.cfg.Self.DataCentre, originPush, originRemote))
	case Acked:
		ma.endCall(ev.Call)
	case PeerDigest:
		ma.handlePeerDigest(ev)
	case Compared:
		ma.handleCompared(ev)
	case Pulled:
		ma.handlePulled(ev)
	case Accepted:
		ma.mergeAll([]Update{ev.Update}, originSelf)
	}
}

func (ma *Machine) handleMembers(ev Members) {
	ma.table = rank.New(rank.Config{Self: ma.cfg.Self, VMs: ev.VMs})
	if !ma.hasMembers {
		ma.hasMembers = true
		ma.service.fallbackAt = ma.now + ma.jittered(ma.fallbackEvery())
		ma.startBoot()
	}
}

// origin is how an update reached this VM. It determines which VMs still need the update.
type origin uint8

const (
	// originPush is a push down the tree of the data centre.
	originPush origin = iota
	// originPull is a repair within the data centre; the other VMs have the update.
	originPull
	// originRemote is another data centre.
	originRemote
	// originService is the key-value service.
	originService
	// originSelf is a change accepted through this VM.
	originSelf
)

func originOf(local bool, localOrigin, remoteOrigin origin) origin {
	if local {
		return localOrigin
	}
	return remoteOrigin
}

func (ma *Machine) mergeAll(ups []Update, from origin) {
	var merged []Update
	for _, up := range ups {
		if ma.merge(up) {
			merged = append(merged, up)
		}
	}
	if len(merged) > maxForwarded {
		return
	}
	for _, up := range merged {
		ma.forward(up, from)
	}
}

// merge takes over an update unless this VM has it or a newer one. This rule alone keeps revisions
// from decreasing, whatever the source of the update: a service that returns past values, a push
// that was overtaken, or a peer that was paused for an hour.
func (ma *Machine) merge(up Update) bool {
	old := ma.held[up.Team]
	if !up.ID().newer(old.ID()) {
		return false
	}
	if old.Revision == up.Revision {
		ma.raiseAlarm(AlarmSameRevision, up.Team, "changes "+old.ChangeID+" and "+up.ChangeID+" share a revision; the latter is in force")
	} else {
		ma.clearAlarm(AlarmSameRevision, up.Team)
	}
	if old.Revision > 0 {
		ma.digest = ma.digest.without(old.ID())
	}
	ma.digest = ma.digest.with(up.ID())
	ma.held[up.Team] = up
	ma.recent = append(ma.recent, up.ID())
	if len(ma.recent) > 2*maxRecent {
		ma.recent = slices.Clone(ma.recent[maxRecent:])
	}
	ma.activate(up)
	return true
}

// activate puts an update in force if this build can read it. An update that it cannot read is
// nevertheless held and passed on, because VMs with a newer build can read it.
func (ma *Machine) activate(up Update) {
	if err := ma.cfg.CheckReadable(up); err != nil {
		ma.raiseAlarm(AlarmUnreadable, up.Team, "change "+up.ChangeID+" cannot be read, the one before stays in force: "+err.Error())
		return
	}
	ma.clearAlarm(AlarmUnreadable, up.Team)
	ma.inForce[up.Team] = up.ID()
	ma.emit(Apply{Update: up})
}

// raiseAlarm raises an alarm unless it is already raised with the same text.
func (ma *Machine) raiseAlarm(kind AlarmKind, team, text string) {
	key := alarmKey{kind: kind, team: team}
	if ma.alarms[key] == text {
		return
	}
	ma.alarms[key] = text
	ma.emit(Alarm{Kind: kind, Team: team, Text: text, Raised: true})
}

func (ma *Machine) clearAlarm(kind AlarmKind, team string) {
	key := alarmKey{kind: kind, team: team}
	if _, ok := ma.alarms[key]; !ok {
		return
	}
	delete(ma.alarms, key)
	ma.emit(Alarm{Kind: kind, Team: team})
}

// clearAlarms clears the alarms of some kinds for all teams.
func (ma *Machine) clearAlarms(kinds ...AlarmKind) {
	var keys []alarmKey
	for key := range ma.alarms {
		if slices.Contains(kinds, key.kind) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b alarmKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.team, b.team))
	})
	for _, key := range keys {
		ma.clearAlarm(key.kind, key.team)
	}
}

func (ma *Machine) emit(ac Action) {
	ma.actions = append(ma.actions, ac)
}

// jittered returns a random time between half of d and one and a half of it, so that VMs that
// started together don't act in step.
func (ma *Machine) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(ma.cfg.Rand.Int64N(int64(d)+1))
}

// Digest returns the digest of what this VM holds.
func (ma *Machine) Digest() Digest { return ma.digest }

// Table returns the ranking in use.
func (ma *Machine) Table() *rank.Table { return ma.table }

// Held returns the newest revision that this VM holds of each team, sorted by team. It may be
// unable to read some of them.
func (ma *Machine) Held() []Revision {
	out := make([]Revision, 0, len(ma.held))
	for _, up := range ma.held {
		out = append(out, up.ID())
	}
	slices.SortFunc(out, func(a, b Revision) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// InForce returns the revision of a team that is in force on this VM; ok is false if none is.
func (ma *Machine) InForce(team string) (Revision, bool) {
	rv, ok := ma.inForce[team]
	return rv, ok
}

// FindChange returns the change with the given id, among the last ones that this VM received.
func (ma *Machine) FindChange(id string) (Revision, bool) {
	for _, rv := range slices.Backward(ma.recent) {
		if rv.ChangeID == id {
			return rv, true
		}
	}
	return Revision{}, false
}

// MissingFrom returns the updates that a peer lacks, given what it holds. more is set if the answer
// was truncated.
func (ma *Machine) MissingFrom(held []Revision) (ups []Update, more bool) {
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
		if size += len(up.Document); size > maxAnswerBytes && len(ups) > 0 {
			return ups, true
		}
		ups = append(ups, up)
	}
	return ups, false
}
