package share

import "time"

// GroupDemand is what a group's aggregator sends to the other groups about one team.
type GroupDemand struct {
	Group string
	Team  string
	// Rate is the highest recent demand of the whole group, in searches per
	// second.
	Rate float64
	// Held is set while a VM of the group misses another one or another group.
	Held     bool
	VM       VM
	Sequence uint64
}

// groups is what a machine knows of the groups of VMs.
type groups struct {
	// others are the other groups by name.
	others map[string]*otherGroup
	// aggregates is set while this VM is an aggregator, since aggregatesSince.
	aggregates      bool
	aggregatesSince time.Duration
	// missedAt is when a group was last missed, sumHeardAt when an aggregator of
	// the own group last announced a sum.
	missedAt   time.Duration
	sumHeardAt time.Duration
	outgoing   []GroupDemand
}

// otherGroup is another group: its size and the last reports of its aggregators.
type otherGroup struct {
	size        int
	aggregators map[VM]*aggregator
}

type aggregator struct {
	at       time.Duration
	sequence uint64
	reports  map[string]report
}

// announcedLow is the lowest recent sum of another aggregator of the own group, and when
// it was received.
type announcedLow struct {
	low float64
	at  time.Duration
}

// groupState is the state of one team's share of the own group.
type groupState struct {
	// announcedSums are the sums that this VM announced as an aggregator.
	announcedSums rateHistory
	announcedLows map[VM]announcedLow
	share         float64
}

// lowWindow is the time over which the lowest announced sum is used: the sum that
// another group uses may be that old by the time that this group notices a partition.
func (mc *Machine) lowWindow() time.Duration {
	return 3 * mc.cfg.GroupWindow
}

// Groups sets the sizes of all groups by name; that of the own group is ignored, since
// it is known from Members.
func (mc *Machine) Groups(now time.Duration, sizes map[string]int) {
	mc.advanceClock(now)
	for name := range mc.groups.others {
		if _, ok := sizes[name]; !ok {
			delete(mc.groups.others, name)
		}
	}
	for name, size := range sizes {
		if name == mc.cfg.Group {
			continue
		}
		og, ok := mc.groups.others[name]
		if !ok {
			og = &otherGroup{aggregators: make(map[VM]*aggregator)}
			mc.groups.others[name] = og
		}
		og.size = size
	}
}

// SetAggregator sets whether this VM is an aggregator of its group. The bounds hold with
// two aggregators at a time, and with none: shares are held then.
func (mc *Machine) SetAggregator(now time.Duration, aggregates bool) {
	mc.advanceClock(now)
	if aggregates && !mc.groups.aggregates {
		mc.groups.aggregatesSince = mc.now
	}
	mc.groups.aggregates = aggregates
}

// hasGroups reports whether the VMs are divided into groups.
func (mc *Machine) hasGroups() bool {
	return mc.cfg.Group != ""
}

// fleetSize is the number of VMs of all groups.
func (mc *Machine) fleetSize() int {
	n := mc.groupSize()
	for _, og := range mc.groups.others {
		n += og.size
	}
	return n
}

// announceSum sums the demands of the group if this VM is an aggregator, and returns the
// lowest recent sum for the announcement within the group. The group gets it first:
// OutgoingGroupDemands returns no sum before the group must have received it.
func (mc *Machine) announceSum(ts *teamState, own float64) (low float64, hasLow bool) {
	if mc.groups.aggregates {
		sum, _ := mc.otherDemand(ts)
		ts.group.announcedSums.add(mc.now, own+sum)
		mc.groups.sumHeardAt = mc.now
	}
	if len(ts.group.announcedSums.rates) == 0 {
		return 0, false
	}
	last := ts.group.announcedSums.rates[len(ts.group.announcedSums.rates)-1].at
	if mc.now > last+mc.lowWindow() {
		ts.group.announcedSums = rateHistory{}
		return 0, false
	}
	return ts.group.announcedSums.low(mc.now - mc.lowWindow()), true
}

// recordLow records the lowest sum announced by an aggregator of the own group.
func (mc *Machine) recordLow(ts *teamState, de Demand) {
	if !de.HasLow {
		return
	}
	ts.group.announcedLows[de.VM] = announcedLow{low: de.Low, at: mc.now}
	if de.Aggregates {
		mc.groups.sumHeardAt = mc.now
	}
}

// OutgoingGroupDemands returns the demands to send to the other groups now, none unless
// this VM is an aggregator. The slice is valid until the next call.
func (mc *Machine) OutgoingGroupDemands(now time.Duration) []GroupDemand {
	mc.advanceClock(now)
	mc.groups.outgoing = mc.groups.outgoing[:0]
	if !mc.groups.aggregates || mc.now < mc.groups.aggregatesSince+mc.cfg.Window {
		return nil
	}
	partitioned := mc.partitioned()
	for _, ts := range mc.teams {
		if !ts.group.announcedSums.covers(mc.now - mc.cfg.Window) {
			continue
		}
		mc.groups.outgoing = append(mc.groups.outgoing, GroupDemand{
			Group:    mc.cfg.Group,
			Team:     ts.name,
			Rate:     ts.group.announcedSums.high(mc.now - mc.cfg.Window),
			Held:     partitioned || mc.anyPartitioned(ts),
			VM:       mc.cfg.Self,
			Sequence: mc.sequence,
		})
	}
	return mc.groups.outgoing
}

// anyPartitioned reports whether a VM of the group announced that it misses another VM
// or group.
func (mc *Machine) anyPartitioned(ts *teamState) bool {
	for vm, pe := range mc.peers {
		if mc.now-pe.at <= mc.cfg.ForgetAfter && ts.reports[vm].partitioned {
			return true
		}
	}
	return false
}

// IncomingGroupDemands processes demands sent by aggregators of other groups.
func (mc *Machine) IncomingGroupDemands(now time.Duration, demands []GroupDemand) {
	mc.advanceClock(now)
	for _, gd := range demands {
		og, ok := mc.groups.others[gd.Group]
		if !ok || !(gd.Rate >= 0) {
			continue
		}
		ag, ok := og.aggregators[gd.VM]
		if !ok {
			ag = &aggregator{reports: make(map[string]report)}
			og.aggregators[gd.VM] = ag
		}
		if gd.Sequence < ag.sequence {
			continue
		}
		if gd.Sequence > ag.sequence {
			ag.at, ag.sequence = mc.now, gd.Sequence
		}
		ag.reports[gd.Team] = report{rate: gd.Rate, held: gd.Held}
	}
}

// silent is the time since the newest message of a group.
func (og *otherGroup) silent(now time.Duration) time.Duration {
	shortest := now
	for _, ag := range og.aggregators {
		shortest = min(shortest, now-ag.at)
	}
	return shortest
}

// report combines the reports about a team by the aggregators heard from within window:
// the highest rate, and held if any of them is.
func (og *otherGroup) report(now, window time.Duration, team string) (rp report, ok bool) {
	for _, ag := range og.aggregators {
		reported, has := ag.reports[team]
		if !has || now-ag.at > window {
			continue
		}
		rp.rate = max(rp.rate, reported.rate)
		rp.held = rp.held || reported.held
		ok = true
	}
	return rp, ok
}

// groupStatus is which of the other groups this VM hears from.
type groupStatus struct {
	allHeard bool
	// atMostHalfSeen is set if the groups heard from recently, the own one
	// included, have at most half of all VMs, or if no aggregator of the own group
	// was heard from.
	atMostHalfSeen bool
}

func (mc *Machine) groupStatus() groupStatus {
	missed := mc.now-mc.groups.sumHeardAt > mc.cfg.Window
	seen := mc.groupSize()
	for _, og := range mc.groups.others {
		silent := og.silent(mc.now)
		if silent <= mc.groupYield() {
			seen += og.size
		}
		if silent <= mc.groupForget() && silent > mc.cfg.GroupWindow-mc.cfg.GroupDelay {
			missed = true
		}
	}
	if missed {
		mc.groups.missedAt = mc.now
	}
	return groupStatus{
		allHeard:       !missed && mc.now >= mc.groups.missedAt+mc.cfg.GroupWindow,
		atMostHalfSeen: 2*seen <= mc.fleetSize() || mc.now-mc.groups.sumHeardAt > mc.groupYield(),
	}
}

// groupForget is how long a group must be silent before its share is divided among the
// others. groupYield, four GroupWindows less, is when VMs that may belong to the silent
// side reduce their group's share to at most an even one.
func (mc *Machine) groupForget() time.Duration { return mc.cfg.ForgetAfter + 4*mc.cfg.GroupWindow }
func (mc *Machine) groupYield() time.Duration  { return mc.cfg.ForgetAfter }

// partitioned reports whether this VM misses another VM of its group or another group.
func (mc *Machine) partitioned() bool {
	return mc.hasGroups() && (!mc.peerStatus().allHeard || !mc.groupStatus().allHeard)
}

// mayHaveMissedSums reports whether other groups may use sums that were announced before
// this VM started.
func (mc *Machine) mayHaveMissedSums() bool {
	return mc.now < mc.startedAt+mc.lowWindow()+mc.cfg.GroupWindow
}

// shareCapped holds for a GroupWindow longer: if all VMs started at once, the first one
// must not raise its share before the last one has lowered its own.
func (mc *Machine) shareCapped() bool {
	return mc.now < mc.startedAt+mc.lowWindow()+2*mc.cfg.GroupWindow
}

// nextGroupShare computes the share of the whole group, as far as this VM may use it.
func (mc *Machine) nextGroupShare(ts *teamState) float64 {
	if !mc.hasGroups() {
		return 1
	}
	even := float64(mc.groupSize()) / float64(mc.fleetSize())
	st := mc.groupStatus()
	low, ok := mc.lowestSum(ts)
	if mc.mayHaveMissedSums() {
		return even
	}
	if st.atMostHalfSeen {
		return min(ts.group.share, even)
	}
	if !ok {
		return ts.group.share
	}
	sum, held := mc.otherGroupsDemand(ts)
	share := 1.0
	if low+sum > 0 {
		share = low / (low + sum)
	}
	if held || !st.allHeard || !mc.peerStatus().allHeard {
		return min(ts.group.share, share)
	}
	return share
}

// lowestSum is the lowest sum that any aggregator of the group announced recently.
func (mc *Machine) lowestSum(ts *teamState) (low float64, ok bool) {
	if len(ts.group.announcedSums.rates) > 0 {
		low, ok = ts.group.announcedSums.low(mc.now-mc.lowWindow()), true
	}
	for vm, an := range ts.group.announcedLows {
		if mc.now-an.at > mc.lowWindow()+mc.cfg.Window {
			delete(ts.group.announcedLows, vm)
			continue
		}
		if !ok || an.low < low {
			low, ok = an.low, true
		}
	}
	return low, ok
}

// otherGroupsDemand sums the demands of the other groups, without those silent for
// groupForget, and reports whether one of them is held. A group without a report about
// the team counts as held, with the minimum demand of its VMs.
func (mc *Machine) otherGroupsDemand(ts *teamState) (sum float64, held bool) {
	floor := mc.boundDemand(ts, 0)
	for _, og := range mc.groups.others {
		silent := og.silent(mc.now)
		if silent > mc.groupForget() {
			continue
		}
		rp, ok := og.report(mc.now, max(silent, mc.cfg.GroupWindow), ts.name)
		if !ok {
			rp = report{rate: floor * float64(og.size), held: true}
		}
		sum += rp.rate
		held = held || rp.held
	}
	return sum, held
}
