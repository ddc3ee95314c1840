package quota

import (
	"time"

	"laburnumvane/core/acct"
)

const (
	// maxHolders is the maximum number of holders of an account in a data centre.
	maxHolders = 2
	// minPart is the least burst of a holder, in requests, for which a data centre has more than
	// one holder.
	minPart = 2
	// sliceCount is the number of equal parts into which the allowance beyond a limit is divided:
	// one each for bursts, for the refill of a window, for tokens in flight, for new buckets, and for
	// the tokens that holders have while they gain bursts.
	sliceCount = 5
	// burstRefillFactor is how fast a bucket may gain its capacity beyond its refill, in capacities per
	// window.
	burstRefillFactor = 1
	// shrinkDelay is how long a data centre counts after its last VM disappeared. The VMs of a
	// data centre that is cut off from the store for that long still use their parts.
	shrinkDelay = 10 * time.Minute
	// isolatedFactor is the inverse of the share of VMs that are isolated at the same time.
	isolatedFactor = 3
)

// Peer is another VM that is a holder of an account.
type Peer struct {
	Addr string
	// Local is set for a VM of this VM's data centre.
	Local bool
	// Rank is the VM's position among the holders of its data centre, from 0.
	Rank int
}

// Fleet is what this VM knows of all VMs. A value is immutable and shared by the Holders of all
// accounts, so that a change is noticed by comparing pointers.
type Fleet struct {
	// VMs is the number of VMs, DataCentres the number of data centres that have any.
	VMs, DataCentres int
	// Listed is set if this VM's own entry is in its copy of the store.
	Listed bool
}

// Holders are the VMs that can have a part of an account's limit, as this VM knows them. A value
// is immutable.
type Holders struct {
	Fleet *Fleet
	// Peers lists the others, those of this VM's data centre first.
	Peers []Peer
	// Rank is this VM's position among the holders of its data centre, or -1.
	Rank int
	// Local is the number of holders in this VM's data centre.
	Local int
	// Successors are the addresses of the VMs of this data centre that rank after its holders, the next
	// ones only.
	Successors []string
}

// SettleTime is how long a VM's entry must have been in its copy of the store before the VM relies
// on that copy showing all data centres.
const SettleTime = 2 * time.Second

// part is a VM's part of an account's limit. It is comparable, to detect changes.
type part struct {
	holds bool
	// limit and refill are the bucket's capacity and its tokens per second; start is its initial
	// level.
	limit, refill, start float64
	// burstRefill is how many tokens per second the bucket may gain beyond its refill, burstCapacity the
	// most of its level and gain in a window, the time over which a limit is measured; see burstWindow.
	burstRefill, burstCapacity float64
	window                     time.Duration
	// total is the refill of all parts together.
	total float64
	// isolated is the refill of the bucket of a VM that reaches no holder.
	isolated float64
	// perCentre is the number of holders in a data centre.
	perCentre int
}

// partOf computes this VM's part of an account's limit; it has none unless keeps is set.
func (li *Limiter) partOf(ac *acct.Account, ho *Holders, keeps bool) part {
	window := li.cfg.Bounds.Window.Seconds()
	slice := li.cfg.Bounds.Allowance(ac) / sliceCount
	centres := float64(li.dataCentres)
	pa := part{perCentre: maxHolders, total: ac.Rate + slice/window}
	burst := ac.Burst + slice
	if burst/(centres*maxHolders) < minPart {
		pa.perCentre = 1
	}
	if li.settled {
		// Before that the number of VMs is not known.
		pa.isolated = slice / window / float64(max(1, ho.Fleet.VMs)) * isolatedFactor
	}
	pa.holds = keeps && ho.Rank >= 0 && ho.Rank < pa.perCentre
	if !pa.holds {
		return pa
	}
	local := pa.perCentre
	if li.settled {
		local = max(1, min(local, ho.Local))
	}
	share := 1 / (centres * float64(local))
	pa.limit, pa.refill, pa.start = burst*share, pa.total*share, slice*share
	pa.burstCapacity, pa.window = pa.limit+pa.start, li.cfg.Bounds.Window
	pa.burstRefill = burstRefillFactor * pa.burstCapacity / window
	return pa
}

// observeFleet keeps the number of data centres among which limits are divided. It grows at once
// and shrinks after shrinkDelay, or when this VM's copy of the store turns out to be complete.
func (li *Limiter) observeFleet(now time.Duration, fl *Fleet) {
	if li.fleet != fl {
		if fl.Listed && (li.fleet == nil || !li.fleet.Listed) {
			li.listedSince = now
		}
		li.fleet, li.fleetSince = fl, now
	}
	settled := li.settled || fl.Listed && now-li.listedSince >= SettleTime
	centres := max(1, fl.DataCentres)
	if !settled {
		centres = max(centres, li.cfg.DataCentres)
	}
	if centres >= li.dataCentres || settled != li.settled || now >= li.centresUntil {
		li.centresUntil = now + shrinkDelay
		if centres != li.dataCentres || settled != li.settled {
			li.epoch++
		}
		li.dataCentres = centres
	}
	li.settled = settled
}
