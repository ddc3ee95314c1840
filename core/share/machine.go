package share

import (
	"math"
	"time"
)

// VM identifies one process of a VM.
type VM struct {
	Addr        string
	Incarnation uint64
}

// Demand is what a VM announces to the others about one team.
type Demand struct {
	Team string
	// Rate is the demand in searches per second.
	Rate float64
	// Share is the VM's share of the team's limit, 0 to 1; with groups, of the
	// group's share.
	Share float64
	// Held is set while the VM does not raise its share, since it misses others
	// or is new.
	Held     bool
	VM       VM
	Sequence uint64
	// Partitioned is set while the VM misses another VM of its group or another
	// group.
	Partitioned bool
	// Aggregates is set while the VM is an aggregator of its group. HasLow is set
	// while it is one or was one recently; Low is then the lowest sum that it
	// announced.
	HasLow     bool
	Aggregates bool
	Low        float64
}

// Limit is a team's limit over all VMs together; 0 means none.
type Limit struct {
	Rate       float64
	Concurrent int
}

// Config configures a machine. Fields that are 0 take default values.
type Config struct {
	Self VM
	// Window is the time within which a demand announced by one VM has reached
	// all others. MaxDelay is the part of it allowed for the delay of a message, by
	// default a third; a VM counts as missed if no newer message from it arrived
	// for the rest.
	Window   time.Duration
	MaxDelay time.Duration
	// ForgetAfter is how long a VM must be silent before its share is divided among
	// the others.
	ForgetAfter time.Duration
	// Floor is the minimum demand of a VM, in multiples of the limit divided by
	// the number of VMs, so that an idle VM can start some searches at once.
	Floor float64
	// Group is the VM's group, such as its data centre or a part of it. If it is
	// set, VMs announce their demands only within the group, and aggregators send
	// the sums to the other groups.
	Group string
	// GroupWindow is the Window between groups, at least twice Window;
	// GroupDelay is the part of it allowed for the delay of a message.
	GroupWindow time.Duration
	GroupDelay  time.Duration
}

// Machine computes this VM's shares of the limits of all teams. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	now     time.Duration
	started bool
	// listed is set once Members was called.
	listed bool
	// missedAt is when a VM of the group was last missed.
	missedAt  time.Duration
	sequence  uint64
	teams     map[string]*teamState
	peers     map[VM]*peer
	announced []Demand
	groups    groups
	// startedAt is the time of the first call.
	startedAt time.Duration
}

// peer is another VM: when its newest message arrived, and its sequence number. Until
// the first message, at is when the VM was first listed and heard is false.
type peer struct {
	at       time.Duration
	sequence uint64
	heard    bool
}

// report is what another VM or group last announced about one team.
type report struct {
	rate        float64
	held        bool
	partitioned bool
}

// teamState is one team's limit, the demands for it, and this VM's share.
type teamState struct {
	name      string
	limit     Limit
	bucket    *Bucket
	announced rateHistory
	reports   map[VM]report
	share     float64
	// group is the state of the group's share; the share is 1 without groups.
	group groupState
}

// New returns a machine that knows no team and no other VM.
func New(cfg Config) *Machine {
	if cfg.Window == 0 {
		cfg.Window = 3 * time.Second
	}
	if cfg.MaxDelay == 0 {
		cfg.MaxDelay = cfg.Window / 3
	}
	if cfg.ForgetAfter == 0 {
		cfg.ForgetAfter = 30 * time.Second
	}
	if cfg.Floor == 0 {
		cfg.Floor = 0.1
	}
	if cfg.GroupWindow == 0 {
		cfg.GroupWindow = 3 * cfg.Window
	}
	if cfg.GroupDelay == 0 {
		cfg.GroupDelay = cfg.GroupWindow / 3
	}
	return &Machine{
		cfg:    cfg,
		teams:  make(map[string]*teamState),
		peers:  make(map[VM]*peer),
		groups: groups{others: make(map[string]*otherGroup)},
	}
}

// Limit sets a team's limit and returns its bucket, which is the same for each call.
func (mc *Machine) Limit(now time.Duration, team string, limit Limit) *Bucket {
	mc.advanceClock(now)
	ts, ok := mc.teams[team]
	if !ok {
		ts = &teamState{name: team, bucket: newBucket(), reports: make(map[VM]report)}
		ts.share = mc.evenShare()
		ts.group = groupState{announcedLows: make(map[VM]announcedLow), share: mc.evenGroupShare()}
		mc.teams[team] = ts
	}
	ts.limit = limit
	mc.apply(ts)
	return ts.bucket
}

// Members sets the other VMs of the group. A VM that is not in the list is dropped at
// once, so a silent VM must stay in the list until it has announced that it leaves or
// another incarnation has replaced it.
func (mc *Machine) Members(now time.Duration, others []VM) {
	mc.advanceClock(now)
	listed := make(map[VM]bool, len(others))
	for _, vm := range others {
		listed[vm] = true
		if _, ok := mc.peers[vm]; !ok && vm != mc.cfg.Self {
			mc.peers[vm] = &peer{at: mc.now}
		}
	}
	for vm := range mc.peers {
		if !listed[vm] {
			mc.drop(vm)
		}
	}
	mc.listed = true
	for _, ts := range mc.teams {
		if mc.isNew(ts) {
			ts.share = mc.evenShare()
			ts.group.share = mc.evenGroupShare()
			mc.apply(ts)
		}
	}
}

// evenGroupShare is the group's share in proportion to the number of its VMs.
func (mc *Machine) evenGroupShare() float64 {
	return float64(mc.groupSize()) / float64(mc.fleetSize())
}

func (mc *Machine) drop(vm VM) {
	delete(mc.peers, vm)
	for _, ts := range mc.teams {
		delete(ts.reports, vm)
	}
}

// Incoming processes demands of other VMs, received directly or forwarded.
func (mc *Machine) Incoming(now time.Duration, demands []Demand) {
	mc.advanceClock(now)
	for _, de := range demands {
		mc.record(de)
	}
}

func (mc *Machine) record(de Demand) {
	if de.VM == mc.cfg.Self || !(de.Rate >= 0) {
		return
	}
	pe, ok := mc.peers[de.VM]
	if !ok {
		pe = new(peer)
		mc.peers[de.VM] = pe
	}
	if pe.heard && de.Sequence < pe.sequence {
		// Forwarded, and overtaken by a newer message.
		return
	}
	if !pe.heard || de.Sequence > pe.sequence {
		pe.at, pe.sequence, pe.heard = mc.now, de.Sequence, true
	}
	if ts, ok := mc.teams[de.Team]; ok {
		ts.reports[de.VM] = report{rate: de.Rate, held: de.Held, partitioned: de.Partitioned}
		mc.recordLow(ts, de)
	}
}

// Outgoing returns the demands to announce to the other VMs of the group now. The
// slice is valid until the next call.
func (mc *Machine) Outgoing(now time.Duration) []Demand {
	mc.advanceClock(now)
	mc.sequence++
	mc.announced = mc.announced[:0]
	st, partitioned := mc.peerStatus(), mc.partitioned()
	for _, ts := range mc.teams {
		rate := mc.boundDemand(ts, ts.bucket.measureDemand(mc.now))
		ts.announced.add(mc.now, rate)
		low, hasLow := mc.announceSum(ts, rate)
		mc.announced = append(mc.announced, Demand{
			Team:        ts.name,
			Rate:        rate,
			Share:       ts.share,
			Held:        !st.allHeard || mc.isNew(ts),
			VM:          mc.cfg.Self,
			Sequence:    mc.sequence,
			Partitioned: partitioned,
			HasLow:      hasLow,
			Aggregates:  mc.groups.aggregates,
			Low:         low,
		})
	}
	return mc.announced
}

// boundDemand bounds a demand to between the minimum and the whole limit. A higher
// demand could not get more, and a team that requests a hundred times its limit on one
// VM must not deprive its callers on the others of their shares.
func (mc *Machine) boundDemand(ts *teamState, rate float64) float64 {
	limit := ts.limit.Rate
	if limit <= 0 {
		limit = max(1, float64(ts.limit.Concurrent))
	}
	return min(max(rate, mc.cfg.Floor*limit/float64(mc.fleetSize())), limit)
}

// evenShare is the share of a new VM within its group. Before the first call of Members
// it is at most unlistedShare: a VM without a VM list need not be the only one.
func (mc *Machine) evenShare() float64 {
	if !mc.listed {
		return min(unlistedShare, 1/float64(mc.groupSize()))
	}
	return 1 / float64(mc.groupSize())
}

// unlistedShare is the share of a VM that has no VM list yet.
const unlistedShare = 0.1

// groupSize is the number of VMs of the group, this one included; without groups, of
// all VMs.
func (mc *Machine) groupSize() int {
	return len(mc.peers) + 1
}

// Step recomputes the shares and applies them to the buckets.
func (mc *Machine) Step(now time.Duration) {
	mc.advanceClock(now)
	st := mc.peerStatus()
	for _, ts := range mc.teams {
		ts.share = mc.nextShare(ts, st)
		ts.group.share = mc.nextGroupShare(ts)
		mc.apply(ts)
	}
}

// apply applies a team's share to its bucket.
func (mc *Machine) apply(ts *teamState) {
	rate, maxInFlight := math.Inf(1), math.MaxInt
	if ts.limit.Rate > 0 {
		rate = mc.fleetShare(ts) * ts.limit.Rate
	}
	if ts.limit.Concurrent > 0 {
		// A VM whose share is less than one search may run one: otherwise a
		// small limit would admit nothing on any VM.
		maxInFlight = max(1, int(mc.fleetShare(ts)*float64(ts.limit.Concurrent)))
	}
	ts.bucket.set(mc.now, rate, maxInFlight)
}

// Held reports whether this VM holds its share of a team's limits: it may lower the
// share but not raise it, because it is new, misses another VM, or knows of a VM that
// does. It is true for an unknown team.
func (mc *Machine) Held(team string) bool {
	ts, ok := mc.teams[team]
	if !ok || mc.isNew(ts) || !mc.peerStatus().allHeard {
		return true
	}
	_, held := mc.otherDemand(ts)
	return held
}

// Share is this VM's share of a team's limits, 0 to 1; 0 for an unknown team.
func (mc *Machine) Share(team string) float64 {
	if ts, ok := mc.teams[team]; ok {
		return mc.fleetShare(ts)
	}
	return 0
}

// fleetShare is this VM's share of the whole limit: its share within the group times
// the group's. A new VM has at most an even share, however high its demand is.
func (mc *Machine) fleetShare(ts *teamState) float64 {
	if !mc.hasGroups() {
		return ts.share
	}
	share := ts.share * ts.group.share
	if mc.shareCapped() {
		return min(share, 1/float64(mc.fleetSize()))
	}
	return share
}

func (mc *Machine) advanceClock(now time.Duration) {
	if !mc.started {
		mc.started = true
		mc.now = now
		mc.startedAt = now
	}
	mc.now = max(mc.now, now)
}
