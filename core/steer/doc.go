// Package steer chooses the server for an attempt from what this VM has seen of
// each: what is in flight there, how long it takes lately, whether it fails,
// refuses, or has gone quiet.
//
// # Usage
//
//	tb := steer.New(steer.Config{DataCentre: "east"})
//	up, ok := tb.Pick(now, steer.Kind{Usual: usual, Slack: slack}, candidates, tried, rnd.Float64)
//	tb.Begin(now, usual, up.Process())
//	tb.End(now, up.Process(), steer.Attempt{Verdict: fanout.Served, Took: took, Usual: usual})
//
// A Table may be used from many goroutines.
//
// # Rules
//
// The cost of a server is the time that one more attempt there is expected to
// take. Servers in other data centres cost more by what the bytes between them
// are worth. A server that has not answered for much longer than it usually
// takes is taken to be in a pause, and costs as much more as the pause has
// lasted: pauses hit 4 to 5 in 100 attempts, and the next request of the same VM
// need not walk into one that is known. One slow answer changes nothing, for most
// are due to a pause that is over by then; a second one, to a request sent after
// the first, shows that the server is slow, and each further one makes that fade
// more slowly, up to a quarter of a minute.
package steer
