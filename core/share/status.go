package share

// peerStatus is which of the other VMs this VM hears from.
type peerStatus struct {
	// allHeard is set if no VM has been missed for a Window, so that the others
	// have heard from this VM again, too, before it raises its share.
	allHeard bool
	// lost is the number of VMs silent for longer than ForgetAfter; atMostHalfLeft is
	// set if no more than half of all VMs are left.
	lost           int
	atMostHalfLeft bool
}

func (mc *Machine) peerStatus() peerStatus {
	var st peerStatus
	missed := false
	for _, pe := range mc.peers {
		silent := mc.now - pe.at
		if silent > mc.cfg.ForgetAfter {
			st.lost++
			continue
		}
		if silent > mc.cfg.Window-mc.cfg.MaxDelay || !pe.heard {
			missed = true
		}
	}
	if missed {
		mc.missedAt = mc.now
	}
	st.allHeard = !missed && mc.now >= mc.missedAt+mc.cfg.Window
	st.atMostHalfLeft = 2*(mc.groupSize()-st.lost) <= mc.groupSize()
	return st
}

func (mc *Machine) nextShare(ts *teamState, st peerStatus) float64 {
	even := mc.evenShare()
	if mc.isNew(ts) {
		return even
	}
	low := ts.announced.low(mc.now - 2*mc.cfg.Window)
	sum, held := mc.otherDemand(ts)
	share := low / (low + sum)
	switch {
	case st.lost > 0 && st.atMostHalfLeft:
		// The others divide the whole limit among themselves by now.
		return min(ts.share, even)
	case !st.allHeard || held:
		return min(ts.share, share)
	default:
		return share
	}
}

// isNew reports whether this VM has announced its demand for less than two Windows:
// the others may not know all of the demand that its share would be computed from.
func (mc *Machine) isNew(ts *teamState) bool {
	return !ts.announced.covers(mc.now - 2*mc.cfg.Window)
}

// otherDemand sums the demands of the other VMs, without those silent for longer than
// ForgetAfter, and reports whether one of them holds its share. A VM that has not announced
// a demand of this team yet counts as holding its share, with the minimum demand.
func (mc *Machine) otherDemand(ts *teamState) (sum float64, held bool) {
	floor := mc.boundDemand(ts, 0)
	for vm, pe := range mc.peers {
		if mc.now-pe.at > mc.cfg.ForgetAfter {
			continue
		}
		rp, ok := ts.reports[vm]
		if !ok {
			rp = report{rate: floor, held: true}
		}
		sum += rp.rate
		held = held || rp.held
	}
	return sum, held
}
