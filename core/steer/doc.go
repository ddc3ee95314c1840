// Package steer selects the server for an attempt, from what this VM has observed of each server:
// the requests in flight there, its recent latency, and whether it fails, refuses or has stopped
// answering.
//
// # Usage
//
//	tb := steer.New(steer.Config{DataCentre: "east"})
//	ki := steer.RequestKind{UsualLatency: usual, Slack: slack}
//	up, ok := tb.Pick(now, ki, candidates, tried, rnd.Float64)
//	tb.Begin(now, usual, up.Process())
//	tb.End(now, up.Process(), steer.Result{Verdict: fanout.Served, Latency: took, UsualLatency: usual})
//
// Before a request that may run only once:
//
//	ck := steer.NewCheck(now, steer.CheckConfig{Table: tb, Asked: ups, Brief: brief, UsualLatency: usual, Deadline: due})
//	switch step, wake := ck.Next(now); step { ... } // Ask, Answered and Failed report what happened
//	groups := ck.Rank(candidates)
//
// A Table may be used from many goroutines.
//
// # Rules
//
// The cost of a server is the time that one more attempt there is expected to take. Servers in
// other data centres cost extra, to account for traffic between data centres. A server that has
// not answered for much longer than usual is assumed to be paused, and its cost grows by the
// duration of the pause so far: 4 to 5 in 100 attempts meet a pause, and the next request of the
// same VM should avoid a pause that is already known. A single slow answer has no effect, since
// most are caused by a pause that is over by then. A second one, to a request sent after the
// first answer, shows that the server is slow; each further one is remembered for longer, up to
// about 15 s.
package steer
