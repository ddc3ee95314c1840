// Package ticket makes a request that must not be repeated run at most once. A
// ticket is an idempotency token that only the process that issued it will run;
// that process keeps what became of it in memory until it expires.
//
// # Usage
//
//	tb := ticket.New(ticket.Config{Addr: addr, Incarnation: inc, Secret: secret, TTL: 5 * time.Minute, Cap: 100_000})
//	token := tb.Issue(now, "wash")
//	vd := tb.Begin(now, token, "wash", bodyHash)
//	if vd.Kind == ticket.VerdictRun {
//		tb.Finish(vd.Number, answer)
//	}
//
// A Table is not safe for use from several goroutines.
//
// # Why it is enough
//
// No store is asked, so no lost answer, pause or partition of one can run a
// request twice. If the issuer is gone, its memory is gone with it, and no other
// process accepts its tickets: a request can be lost, but not run again.
package ticket
