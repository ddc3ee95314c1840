package steer

import (
	"math"
	"time"
)

// memory is what is known of one server.
type memory struct {
	inFlight int
	// quietSince is when the server answered last, or got a request while it
	// had none.
	quietSince time.Duration
	// expect is the longest usual latency of what was sent lately: a short
	// request must not take a server for quiet that works on a long one.
	expect   time.Duration
	expectAt time.Duration
	// slow is how many times the usual the server takes, as of slowAt.
	slow   float64
	slowAt time.Duration
	// strikes counts slow answers in a row, each to a request sent after the
	// answer before; struckAt is when the last one came.
	strikes  int
	struckAt time.Duration
	fails    float64
	refusals float64
	failAt   time.Duration
	// window is how many requests of this VM the server may have at once; cutAt
	// is when it was cut last.
	window float64
	cutAt  time.Duration
	// avoidUntil is when the server may get requests again.
	avoidUntil time.Duration
	// told is what the server told of itself last, and misread is set once it told what
	// could not be read.
	told    told
	misread bool
}

// fading is the share of a memory that is left.
func fading(age, fade time.Duration) float64 {
	return math.Exp(-float64(age) / float64(fade))
}

// slowness is how many times the usual the server is thought to take.
func (me *memory) slowness(now time.Duration) float64 {
	if me.slow == 0 {
		return 1
	}
	fade := fadeFirst
	if me.strikes > 1 {
		fade = min(fadeNext<<min(me.strikes-2, 8), fadeMost)
	}
	return 1 + (me.slow-1)*fading(now-me.slowAt, fade)
}

// quiet is the time since the server should have answered.
func (me *memory) quiet(now time.Duration) float64 {
	if me.inFlight == 0 {
		return 0
	}
	silent := float64(now - me.quietSince)
	if silent < max(quietTimes*float64(me.expect)*me.slowness(now), float64(quietLeast)) {
		return 0
	}
	return silent
}

// cut makes the window smaller by as much as an answer took longer than it should
// have, within bounds, unless the attempt was sent before the last cut.
func (me *memory) cut(now, took time.Duration, allowed float64) {
	if me.cutAt > 0 && now-took < me.cutAt {
		return
	}
	me.cutAt = now
	me.window = max(1, me.window*min(max(allowed/float64(took), windowCutMost), windowCutLeast))
}

// note takes in how long an answer took.
func (me *memory) note(now time.Duration, at Attempt) {
	if at.Usual <= 0 {
		return
	}
	// A short request may have waited behind a long one.
	times := min(float64(at.Took)/float64(max(at.Usual, me.expect)), mostSlow)
	was := me.slowness(now)
	if times < slowTimes {
		me.strikes = 0
	} else if me.strikes == 0 || now-at.Took >= me.struckAt {
		me.strikes++
		me.struckAt = now
	}
	switch {
	case me.strikes > 1:
		me.slow = max(was, times)
	case times < slowTimes:
		me.slow = was + gain*(times-was)
	default:
		me.slow = was
	}
	me.slowAt = now
}

func (me *memory) mark(now time.Duration, fail, refusal float64) {
	kept := fading(now-me.failAt, failFade)
	me.fails = me.fails*kept + gain*(fail-me.fails*kept)
	me.refusals = me.refusals*kept + gain*(refusal-me.refusals*kept)
	me.failAt = now
}
