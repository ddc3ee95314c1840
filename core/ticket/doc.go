// Package ticket makes a request that must not be repeated run at most once. A
// ticket is an idempotency token that only the process that issued it will run;
// that process keeps what became of it in memory until it expires.
//
// # Usage
//
//	tb := ticket.New[string](ticket.Config{Addr: addr, Incarnation: inc, Secret: secret, TTL: 5 * time.Minute, Cap: 100_000})
//	token := tb.Issue(now, "wash")
//	vd := tb.Begin(now, token, "wash", bodyHash)
//	switch vd.Kind {
//	case ticket.VerdictRun:
//		answer, ran := run()
//		if ran {
//			tb.Finish(vd.Number, answer, len(answer))
//		} else {
//			tb.Release(vd.Number)
//		}
//	case ticket.VerdictElsewhere:
//		// forward to vd.Issuer
//	}
//
// A Table is not safe for use from several goroutines.
//
// # Why it is enough
//
// No store is asked, so no lost answer, pause or partition of one can run a
// request twice. If the issuer is gone, its memory is gone with it, and no other
// process accepts its tickets: a request can be lost, but not run again. A pause
// of the issuer stops its clock's users along with it: the table and the expiry
// are judged by the same process.
//
// # What a verdict promises
//
// Full, Forged, OtherTeam and OtherBody say that this attempt did not run; Full
// also that no earlier one did, for a ticket that was used is remembered until
// it expires. After Void, Expired and Forgotten an earlier attempt may have run
// (after Forgotten it has), so none of them may be reported as "not run".
//
// Memory is bounded by the number of tickets in use, in all and for one team,
// and by the bytes of their answers. An answer that has to go leaves its ticket
// marked as used.
package ticket
