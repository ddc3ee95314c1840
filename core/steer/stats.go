package steer

import (
	"math"
	"time"
)

// serverStats holds the observations of one server process.
type serverStats struct {
	inFlight int
	// silentSince is when the server last answered, or when it got a request while it had none in
	// flight.
	silentSince time.Duration
	// respondedAt is when the last response of the server arrived; 0 if none has.
	respondedAt time.Duration
	// longestUsual is the largest usual latency among recent requests, so that a server that is
	// busy with a long request does not count as silent for a short one.
	longestUsual   time.Duration
	longestUsualAt time.Duration
	// slowdown is the estimated ratio of the server's latency to the usual one, as of slowdownAt.
	slowdown   float64
	slowdownAt time.Duration
	// slowAnswers counts consecutive slow answers, each to a request sent after the previous slow
	// answer; lastSlowAt is when the last of them arrived.
	slowAnswers int
	lastSlowAt  time.Duration
	failureRate float64
	refusalRate float64
	ratesAt     time.Duration
	// window is how many requests this VM may have in flight at the server; windowCutAt is when
	// it was last reduced.
	window      float64
	windowCutAt time.Duration
	// avoidUntil is when the server may be picked again.
	avoidUntil time.Duration
	// report is the server's last load report; misreadLoad is set once a report could not be
	// read.
	report      loadReport
	misreadLoad bool
}

// decay returns the weight that an observation of the given age still has.
func decay(age, decayTime time.Duration) float64 {
	return math.Exp(-float64(age) / float64(decayTime))
}

// currentSlowdown estimates how many times the usual latency the server takes now.
func (st *serverStats) currentSlowdown(now time.Duration) float64 {
	if st.slowdown == 0 {
		return 1
	}
	decayTime := decayFirst
	if st.slowAnswers > 1 {
		decayTime = min(decayRepeated<<min(st.slowAnswers-2, 8), decayMax)
	}
	return 1 + (st.slowdown-1)*decay(now-st.slowdownAt, decayTime)
}

// silence returns for how many nanoseconds the server has been silent, if that is longer than
// expected; otherwise 0.
func (st *serverStats) silence(now time.Duration) float64 {
	if st.inFlight == 0 {
		return 0
	}
	silentFor := float64(now - st.silentSince)
	if silentFor < max(silentRatio*float64(st.longestUsual)*st.currentSlowdown(now), float64(minSilence)) {
		return 0
	}
	return silentFor
}

// cutWindow reduces the window in proportion to how much too long an answer took, within bounds.
// It does nothing if the attempt was sent before the previous reduction.
func (st *serverStats) cutWindow(now, took time.Duration, allowed float64) {
	if st.windowCutAt > 0 && now-took < st.windowCutAt {
		return
	}
	st.windowCutAt = now
	st.window = max(1, st.window*min(max(allowed/float64(took), windowCutMin), windowCutMax))
}

// recordLatency updates the slowdown from the latency of an answer.
func (st *serverStats) recordLatency(now time.Duration, rs Result) {
	if rs.UsualLatency <= 0 {
		return
	}
	// A short request may have been queued behind a long one.
	ratio := min(float64(rs.Latency)/float64(max(rs.UsualLatency, st.longestUsual)), maxSlowdown)
	previous := st.currentSlowdown(now)
	if ratio < slowRatio {
		st.slowAnswers = 0
	} else if st.slowAnswers == 0 || now-rs.Latency >= st.lastSlowAt {
		st.slowAnswers++
		st.lastSlowAt = now
	}
	switch {
	case st.slowAnswers > 1:
		st.slowdown = max(previous, ratio)
	case ratio < slowRatio:
		st.slowdown = previous + smoothing*(ratio-previous)
	default:
		st.slowdown = previous
	}
	st.slowdownAt = now
}

// recordOutcome updates the moving averages of failures and refusals.
func (st *serverStats) recordOutcome(now time.Duration, fail, refusal float64) {
	weight := decay(now-st.ratesAt, failureDecay)
	st.failureRate = st.failureRate*weight + smoothing*(fail-st.failureRate*weight)
	st.refusalRate = st.refusalRate*weight + smoothing*(refusal-st.refusalRate*weight)
	st.ratesAt = now
}
