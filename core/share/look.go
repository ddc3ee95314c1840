package share

// look is what the VM sees of the others.
type look struct {
	// hears: all were heard lately, and have been for a Window, so that they
	// have heard this VM again too before it raises its part.
	hears bool
	// lost is the number silent for longer than Forget, fewer is set where no
	// more than half are left.
	lost  int
	fewer bool
}

func (mc *Machine) look() look {
	var lo look
	missed := false
	for _, pe := range mc.heard {
		silent := mc.now - pe.at
		if silent > mc.cfg.Forget {
			lo.lost++
			continue
		}
		if silent > mc.cfg.Window-mc.cfg.Way || !pe.ever {
			missed = true
		}
	}
	if missed {
		mc.missedAt = mc.now
	}
	lo.hears = !missed && mc.now >= mc.missedAt+mc.cfg.Window
	lo.fewer = 2*(mc.count()-lo.lost) <= mc.count()
	return lo
}

func (mc *Machine) shareOf(sp *split, lo look) float64 {
	even := mc.even()
	if mc.young(sp) {
		return even
	}
	low := sp.told.low(mc.now - 2*mc.cfg.Window)
	sum, held := mc.others(sp)
	part := low / (low + sum)
	switch {
	case lo.lost > 0 && lo.fewer:
		// The others divide the limit among themselves by now.
		return min(sp.share, even)
	case !lo.hears || held:
		return min(sp.share, part)
	default:
		return part
	}
}

// young tells whether this VM has not told its demand for two Windows yet: the
// others may not have heard of all that it would claim.
func (mc *Machine) young(sp *split) bool {
	return !sp.told.covers(mc.now - 2*mc.cfg.Window)
}

// others sums the demands of those not given up and tells whether one of them
// holds its part. One not heard of this team yet does, at the floor.
func (mc *Machine) others(sp *split) (sum float64, held bool) {
	floor := mc.bounded(sp, 0)
	for vm, pe := range mc.heard {
		if mc.now-pe.at > mc.cfg.Forget {
			continue
		}
		wa, ok := sp.wants[vm]
		if !ok {
			wa = want{rate: floor, held: true}
		}
		sum += wa.rate
		held = held || wa.held
	}
	return sum, held
}
