package share

import "time"

// Sum is what a group's summer tells the other groups of one team.
type Sum struct {
	Group string
	Team  string
	// Rate is the demand of the whole group, the highest of late.
	Rate float64
	// Held is set while a VM of the group holds its part of the group's.
	Held     bool
	VM       VM
	Sequence uint64
}

// tier is what a machine knows of the groups of VMs.
type tier struct {
	// far are the other groups.
	far map[string]*farGroup
	// leads is set while this VM sums, since leadAt.
	leads  bool
	leadAt time.Duration
	// cutAt is when a group was last missed, toldAt when a summer of the own
	// group was last heard.
	cutAt  time.Duration
	toldAt time.Duration
	out    []Sum
}

// farGroup is another group: its size and what each of its summers told last.
type farGroup struct {
	size    int
	summers map[VM]*farSummer
}

type farSummer struct {
	at       time.Duration
	sequence uint64
	wants    map[string]want
}

// announced is the least sum that a summer of the own group announced lately.
type announced struct {
	low float64
	at  time.Duration
}

// upperSplit is one team's part at the upper level.
type upperSplit struct {
	// sums are those announced here, while this VM sums.
	sums      lows
	announced map[VM]announced
	share     float64
}

// lowTime is the time over which the least announced sum counts: what another
// group uses may be that old by the time that this group knows it to be cut off.
func (mc *Machine) lowTime() time.Duration {
	return 3 * mc.cfg.FarWindow
}

// Groups tells the sizes of all groups; the own one's is known from Members.
func (mc *Machine) Groups(now time.Duration, sizes map[string]int) {
	mc.advance(now)
	for name := range mc.tier.far {
		if _, ok := sizes[name]; !ok {
			delete(mc.tier.far, name)
		}
	}
	for name, size := range sizes {
		if name == mc.cfg.Group {
			continue
		}
		fg, ok := mc.tier.far[name]
		if !ok {
			fg = &farGroup{summers: make(map[VM]*farSummer)}
			mc.tier.far[name] = fg
		}
		fg.size = size
	}
}

// Lead tells whether this VM sums for its group. Two that do at a time do no
// harm, and neither does none: parts are held meanwhile.
func (mc *Machine) Lead(now time.Duration, leads bool) {
	mc.advance(now)
	if leads && !mc.tier.leads {
		mc.tier.leadAt = mc.now
	}
	mc.tier.leads = leads
}

// grouped tells whether there is an upper level.
func (mc *Machine) grouped() bool {
	return mc.cfg.Group != ""
}

// all is the number of VMs of all groups.
func (mc *Machine) all() int {
	n := mc.count()
	for _, fg := range mc.tier.far {
		n += fg.size
	}
	return n
}

// announce sums the demands of the group, for the demand told to it. The sum is
// told inside first: OutgoingSums gives none before it must have been heard.
func (mc *Machine) announce(sp *split, own float64) (low float64, sums bool) {
	if mc.tier.leads {
		sum, _ := mc.others(sp)
		sp.upper.sums.add(mc.now, own+sum)
		mc.tier.toldAt = mc.now
	}
	if len(sp.upper.sums.told) == 0 {
		return 0, false
	}
	last := sp.upper.sums.told[len(sp.upper.sums.told)-1].at
	if mc.now > last+mc.lowTime() {
		sp.upper.sums = lows{}
		return 0, false
	}
	return sp.upper.sums.low(mc.now - mc.lowTime()), true
}

// hearLow keeps what a summer of the own group announced.
func (mc *Machine) hearLow(sp *split, de Demand) {
	if !de.Sums {
		return
	}
	sp.upper.announced[de.VM] = announced{low: de.Low, at: mc.now}
	if de.Leads {
		mc.tier.toldAt = mc.now
	}
}

// OutgoingSums is what to tell the other groups now: nothing unless this VM
// sums. The slice is valid until the next call.
func (mc *Machine) OutgoingSums(now time.Duration) []Sum {
	mc.advance(now)
	mc.tier.out = mc.tier.out[:0]
	if !mc.tier.leads || mc.now < mc.tier.leadAt+mc.cfg.Window {
		return nil
	}
	cut := mc.cut()
	for _, sp := range mc.teams {
		if !sp.upper.sums.covers(mc.now - mc.cfg.Window) {
			continue
		}
		mc.tier.out = append(mc.tier.out, Sum{
			Group:    mc.cfg.Group,
			Team:     sp.name,
			Rate:     sp.upper.sums.high(mc.now - mc.cfg.Window),
			Held:     cut || mc.anyCut(sp),
			VM:       mc.cfg.Self,
			Sequence: mc.sequence,
		})
	}
	return mc.tier.out
}

// anyCut tells whether a VM of the group says that it misses something.
func (mc *Machine) anyCut(sp *split) bool {
	for vm, pe := range mc.heard {
		if mc.now-pe.at <= mc.cfg.Forget && sp.wants[vm].cut {
			return true
		}
	}
	return false
}

// IncomingSums takes what summers of other groups told.
func (mc *Machine) IncomingSums(now time.Duration, sums []Sum) {
	mc.advance(now)
	for _, su := range sums {
		fg, ok := mc.tier.far[su.Group]
		if !ok || !(su.Rate >= 0) {
			continue
		}
		fs, ok := fg.summers[su.VM]
		if !ok {
			fs = &farSummer{wants: make(map[string]want)}
			fg.summers[su.VM] = fs
		}
		if su.Sequence < fs.sequence {
			continue
		}
		if su.Sequence > fs.sequence {
			fs.at, fs.sequence = mc.now, su.Sequence
		}
		fs.wants[su.Team] = want{rate: su.Rate, held: su.Held}
	}
}

// silent is how long nothing came of a group.
func (fg *farGroup) silent(now time.Duration) time.Duration {
	least := now
	for _, fs := range fg.summers {
		least = min(least, now-fs.at)
	}
	return least
}

// want is what the summers of a group that were heard lately told: the most of
// it, where they differ.
func (fg *farGroup) want(now, window time.Duration, team string) (wa want, ok bool) {
	for _, fs := range fg.summers {
		told, has := fs.wants[team]
		if !has || now-fs.at > window {
			continue
		}
		wa.rate = max(wa.rate, told.rate)
		wa.held = wa.held || told.held
		ok = true
	}
	return wa, ok
}

// farLook is what the VM sees of the other groups.
type farLook struct {
	hears bool
	// fewer is set where no more than half of the VMs, those of the own group
	// among them, have been heard of for a while; or no summer of the own group.
	fewer bool
}

func (mc *Machine) farLook() farLook {
	missed := mc.now-mc.tier.toldAt > mc.cfg.Window
	seen := mc.count()
	for _, fg := range mc.tier.far {
		silent := fg.silent(mc.now)
		if silent <= mc.farPatience() {
			seen += fg.size
		}
		if silent <= mc.farForget() && silent > mc.cfg.FarWindow-mc.cfg.FarWay {
			missed = true
		}
	}
	if missed {
		mc.tier.cutAt = mc.now
	}
	return farLook{
		hears: !missed && mc.now >= mc.tier.cutAt+mc.cfg.FarWindow,
		fewer: 2*seen <= mc.all() || mc.now-mc.tier.toldAt > mc.farPatience(),
	}
}

// farForget is when a silent group's part is divided; farPatience, some windows
// before, is when those that may be the silent ones give up what is over an even
// part.
func (mc *Machine) farForget() time.Duration   { return mc.cfg.Forget + 4*mc.cfg.FarWindow }
func (mc *Machine) farPatience() time.Duration { return mc.cfg.Forget }

// cut tells whether this VM misses another of its group, or another group.
func (mc *Machine) cut() bool {
	return mc.grouped() && (!mc.look().hears || !mc.farLook().hears)
}

// farNew tells whether sums may be in use elsewhere that this VM never heard of.
func (mc *Machine) farNew() bool {
	return mc.now < mc.startedAt+mc.lowTime()+mc.cfg.FarWindow
}

// farYoung is set for a window longer: where all VMs started at once, the first
// must not raise its part before the last has lowered its own.
func (mc *Machine) farYoung() bool {
	return mc.now < mc.startedAt+mc.lowTime()+2*mc.cfg.FarWindow
}

// groupShare is the part of the whole group, as this VM may take it.
func (mc *Machine) groupShare(sp *split) float64 {
	if !mc.grouped() {
		return 1
	}
	even := float64(mc.count()) / float64(mc.all())
	lo := mc.farLook()
	low, ok := mc.lowOf(sp)
	if mc.farNew() {
		return even
	}
	if lo.fewer {
		return min(sp.upper.share, even)
	}
	if !ok {
		return sp.upper.share
	}
	sum, held := mc.farSum(sp)
	part := 1.0
	if low+sum > 0 {
		part = low / (low + sum)
	}
	if held || !lo.hears || !mc.look().hears {
		return min(sp.upper.share, part)
	}
	return part
}

// lowOf is the least sum that any summer of the group announced lately.
func (mc *Machine) lowOf(sp *split) (low float64, ok bool) {
	if len(sp.upper.sums.told) > 0 {
		low, ok = sp.upper.sums.low(mc.now-mc.lowTime()), true
	}
	for vm, an := range sp.upper.announced {
		if mc.now-an.at > mc.lowTime()+mc.cfg.Window {
			delete(sp.upper.announced, vm)
			continue
		}
		if !ok || an.low < low {
			low, ok = an.low, true
		}
	}
	return low, ok
}

// farSum adds up what the other groups told.
func (mc *Machine) farSum(sp *split) (sum float64, held bool) {
	floor := mc.bounded(sp, 0)
	for _, fg := range mc.tier.far {
		silent := fg.silent(mc.now)
		if silent > mc.farForget() {
			continue
		}
		wa, ok := fg.want(mc.now, max(silent, mc.cfg.FarWindow), sp.name)
		if !ok {
			wa = want{rate: floor * float64(fg.size), held: true}
		}
		sum += wa.rate
		held = held || wa.held
	}
	return sum, held
}
