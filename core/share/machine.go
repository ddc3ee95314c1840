package share

import (
	"math"
	"time"
)

// VM names one process of one VM.
type VM struct {
	Addr        string
	Incarnation uint64
}

// Demand is what one VM tells the others of one team.
type Demand struct {
	Team string
	// Rate is in searches a second.
	Rate float64
	// Share is the part of the team's limit that the VM holds, 0 to 1.
	Share float64
	// Held is set while the VM does not raise its part, since it misses others
	// or is new.
	Held     bool
	VM       VM
	Sequence uint64
	// Cut is set while the VM misses another of its group, or another group.
	Cut bool
	// Sums is set if the VM sums for its group, or did lately, and Low is then
	// the least sum that it announced; Leads is set while it does.
	Sums  bool
	Leads bool
	Low   float64
}

// Limit is a team's limit over all VMs together; 0 means none.
type Limit struct {
	Rate       float64
	Concurrent int
}

// Config sets a machine. Fields that are 0 take the defaults of New.
type Config struct {
	Self VM
	// Window is the time within which demand told by one VM reaches all. Way is
	// the part of it for a message's way, by default a third; a VM counts as
	// missed when nothing new of it came for the rest.
	Window time.Duration
	Way    time.Duration
	// Forget is how long a VM must be silent for its part to be divided.
	Forget time.Duration
	// Floor is the least demand of a VM, as a share of the limit over N: what
	// an idle VM may let start at once.
	Floor float64
	// Group is set where VMs tell their demands within their group alone, and
	// summers tell the other groups the sums: the data centre, or a part of it.
	Group string
	// FarWindow is the Window between groups, at least twice it, and FarWay the
	// part of it for a sum's way.
	FarWindow time.Duration
	FarWay    time.Duration
}

// Machine divides the limits of all teams; the control goroutine owns it.
type Machine struct {
	cfg     Config
	now     time.Duration
	started bool
	// listed is set once Members has told who else there is.
	listed bool
	// missedAt is when another VM was last missed.
	missedAt time.Duration
	sequence uint64
	teams    map[string]*split
	heard    map[VM]*peer
	told     []Demand
	tier     tier
	// startedAt is when the machine first ran.
	startedAt time.Duration
}

// peer is another VM: when it was heard and which was its last message.
type peer struct {
	at       time.Duration
	sequence uint64
	ever     bool
}

// want is what another VM told of one team.
type want struct {
	rate float64
	held bool
	cut  bool
}

// split is one team's limit and who wants how much of it.
type split struct {
	name   string
	limit  Limit
	bucket *Bucket
	told   lows
	wants  map[VM]want
	share  float64
	// upper is the part of the VM's group; it is the whole where there is none.
	upper upperSplit
}

// New makes a machine that knows of no team and no other VM.
func New(cfg Config) *Machine {
	if cfg.Window == 0 {
		cfg.Window = 3 * time.Second
	}
	if cfg.Way == 0 {
		cfg.Way = cfg.Window / 3
	}
	if cfg.Forget == 0 {
		cfg.Forget = 30 * time.Second
	}
	if cfg.Floor == 0 {
		cfg.Floor = 0.1
	}
	if cfg.FarWindow == 0 {
		cfg.FarWindow = 3 * cfg.Window
	}
	if cfg.FarWay == 0 {
		cfg.FarWay = cfg.FarWindow / 3
	}
	return &Machine{
		cfg:   cfg,
		teams: make(map[string]*split),
		heard: make(map[VM]*peer),
		tier:  tier{far: make(map[string]*farGroup)},
	}
}

// Limit sets a team's limit and returns its bucket, which stays the same.
func (mc *Machine) Limit(now time.Duration, team string, limit Limit) *Bucket {
	mc.advance(now)
	sp, ok := mc.teams[team]
	if !ok {
		sp = &split{name: team, bucket: newBucket(), wants: make(map[VM]want)}
		sp.share = mc.even()
		sp.upper = upperSplit{announced: make(map[VM]announced), share: mc.groupEven()}
		mc.teams[team] = sp
	}
	sp.limit = limit
	mc.apply(sp)
	return sp.bucket
}

// Members tells which other VMs there are. One that is missing from the list is
// dropped at once, so name one that has fallen silent until it has said that it
// leaves or another incarnation has taken its place.
func (mc *Machine) Members(now time.Duration, others []VM) {
	mc.advance(now)
	listed := make(map[VM]bool, len(others))
	for _, vm := range others {
		listed[vm] = true
		if _, ok := mc.heard[vm]; !ok && vm != mc.cfg.Self {
			mc.heard[vm] = &peer{at: mc.now}
		}
	}
	for vm := range mc.heard {
		if !listed[vm] {
			mc.drop(vm)
		}
	}
	mc.listed = true
	for _, sp := range mc.teams {
		if mc.young(sp) {
			sp.share = mc.even()
			sp.upper.share = mc.groupEven()
			mc.apply(sp)
		}
	}
}

// groupEven is the group's part by the number of its VMs.
func (mc *Machine) groupEven() float64 {
	return float64(mc.count()) / float64(mc.all())
}

func (mc *Machine) drop(vm VM) {
	delete(mc.heard, vm)
	for _, sp := range mc.teams {
		delete(sp.wants, vm)
	}
}

// Incoming takes what others told, directly or passed on.
func (mc *Machine) Incoming(now time.Duration, demands []Demand) {
	mc.advance(now)
	for _, de := range demands {
		mc.hear(de)
	}
}

func (mc *Machine) hear(de Demand) {
	if de.VM == mc.cfg.Self || !(de.Rate >= 0) {
		return
	}
	pe, ok := mc.heard[de.VM]
	if !ok {
		pe = new(peer)
		mc.heard[de.VM] = pe
	}
	if pe.ever && de.Sequence < pe.sequence {
		// Passed on by a longer way than a newer one.
		return
	}
	if !pe.ever || de.Sequence > pe.sequence {
		pe.at, pe.sequence, pe.ever = mc.now, de.Sequence, true
	}
	if sp, ok := mc.teams[de.Team]; ok {
		sp.wants[de.VM] = want{rate: de.Rate, held: de.Held, cut: de.Cut}
		mc.hearLow(sp, de)
	}
}

// Outgoing is what to tell the others now. The slice is valid until the next
// call.
func (mc *Machine) Outgoing(now time.Duration) []Demand {
	mc.advance(now)
	mc.sequence++
	mc.told = mc.told[:0]
	lo, cut := mc.look(), mc.cut()
	for _, sp := range mc.teams {
		rate := mc.bounded(sp, sp.bucket.measure(mc.now))
		sp.told.add(mc.now, rate)
		low, sums := mc.announce(sp, rate)
		mc.told = append(mc.told, Demand{
			Team:     sp.name,
			Rate:     rate,
			Share:    sp.share,
			Held:     !lo.hears || mc.young(sp),
			VM:       mc.cfg.Self,
			Sequence: mc.sequence,
			Cut:      cut,
			Sums:     sums,
			Leads:    mc.tier.leads,
			Low:      low,
		})
	}
	return mc.told
}

// bounded keeps a demand between the floor and the whole limit: beyond it there
// is nothing to get, and a team that asks for a hundred times its limit on one
// VM must not leave its callers on the others without any.
func (mc *Machine) bounded(sp *split, rate float64) float64 {
	limit := sp.limit.Rate
	if limit <= 0 {
		limit = max(1, float64(sp.limit.Concurrent))
	}
	return min(max(rate, mc.cfg.Floor*limit/float64(mc.all())), limit)
}

// even is the part of a new VM. Before it knows who else there is, it takes a
// small one: to have no VM list yet does not mean to be alone.
func (mc *Machine) even() float64 {
	if !mc.listed {
		return min(unlistedShare, 1/float64(mc.count()))
	}
	return 1 / float64(mc.count())
}

// unlistedShare is the part of a VM that has seen no VM list.
const unlistedShare = 0.1

// count is the number of VMs known, this one included.
func (mc *Machine) count() int {
	return len(mc.heard) + 1
}

// Step works out the parts anew.
func (mc *Machine) Step(now time.Duration) {
	mc.advance(now)
	lo := mc.look()
	for _, sp := range mc.teams {
		sp.share = mc.shareOf(sp, lo)
		sp.upper.share = mc.groupShare(sp)
		mc.apply(sp)
	}
}

// apply puts a team's part in force.
func (mc *Machine) apply(sp *split) {
	rate, most := math.Inf(1), math.MaxInt
	if sp.limit.Rate > 0 {
		rate = mc.shareOfAll(sp) * sp.limit.Rate
	}
	if sp.limit.Concurrent > 0 {
		// A VM with less than a whole place keeps one: otherwise a small
		// limit would admit nothing anywhere.
		most = max(1, int(mc.shareOfAll(sp)*float64(sp.limit.Concurrent)))
	}
	sp.bucket.set(mc.now, rate, most)
}

// Held tells whether this VM holds its part of a team's limits: it may lower it,
// not raise it, since it is new, misses another VM, or knows of one that does.
func (mc *Machine) Held(team string) bool {
	sp, ok := mc.teams[team]
	if !ok || mc.young(sp) || !mc.look().hears {
		return true
	}
	_, held := mc.others(sp)
	return held
}

// Share is this VM's part of a team's limits, 0 to 1.
func (mc *Machine) Share(team string) float64 {
	if sp, ok := mc.teams[team]; ok {
		return mc.shareOfAll(sp)
	}
	return 0
}

// shareOfAll is this VM's part of its group's part. One that is new among the
// groups has an even part of the whole at most, however hot it is.
func (mc *Machine) shareOfAll(sp *split) float64 {
	if !mc.grouped() {
		return sp.share
	}
	part := sp.share * sp.upper.share
	if mc.farYoung() {
		return min(part, 1/float64(mc.all()))
	}
	return part
}

func (mc *Machine) advance(now time.Duration) {
	if !mc.started {
		mc.started = true
		mc.now = now
		mc.startedAt = now
	}
	mc.now = max(mc.now, now)
}
