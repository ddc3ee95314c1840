package quota

import (
	"slices"
	"time"
)

// windowSlots is the number of parts of a window for which the highest level is kept.
const windowSlots = 10

// burstWindow decides how much a bucket may gain beyond its refill. A limit allows the rate and a burst in
// every window, but a token bucket gives out the burst only once to an account that always sends more. In a
// window a bucket gives out at most its level at the beginning, its refill, and what it gains beyond it. So
// this gain is limited such that, for each beginning within the last window, level and gain since do not
// exceed a capacity: no window then has more than the rate and that capacity, however the account sends.
type burstWindow struct {
	// gained is the sum of all gains. highest holds, for each slot of the last window, the highest
	// difference of the level and gained at that time; slot is the number of the current one.
	gained  float64
	highest [windowSlots + 1]float64
	slot    int64
}

// block permits no gain until a window has passed.
func (bw *burstWindow) block(slot int64, capacity float64) {
	bw.slot = slot
	for i := range bw.highest {
		bw.highest[i] = capacity - bw.gained
	}
}

// record notes a level in the current slot.
func (bw *burstWindow) record(level float64) {
	at := bw.slot % int64(len(bw.highest))
	bw.highest[at] = max(bw.highest[at], level-bw.gained)
}

// room returns how much the bucket may gain now.
func (bw *burstWindow) room(capacity float64) float64 {
	return max(0, capacity-bw.gained-slices.Max(bw.highest[:]))
}

// advance begins a slot if it is due.
func (bw *burstWindow) advance(slot int64, level float64) {
	if slot != bw.slot {
		bw.slot = slot
		bw.highest[slot%int64(len(bw.highest))] = level - bw.gained
	}
}

// refill refills the bucket from st.at until a time, slot by slot in the last two windows.
func (st *state) refill(until time.Duration) {
	slot := st.part.window / windowSlots
	if skipped := until - 2*st.part.window - st.at; skipped > 0 {
		st.level = min(st.part.limit, st.level+st.part.refill*skipped.Seconds())
		st.at += skipped
	}
	for st.at < until {
		next := min(until, st.at-st.at%slot+slot)
		seconds := (next - st.at).Seconds()
		level := min(st.part.limit, st.level+st.part.refill*seconds)
		gain := min(st.part.burstRefill*seconds, st.part.limit-level, st.burstWindow.room(st.part.burstCapacity))
		st.level = level + gain
		st.burstWindow.gained += gain
		st.at = next
		st.burstWindow.advance(int64(next/slot), st.level)
		st.burstWindow.record(st.level)
	}
}
