// Package ticket makes a request that must not be repeated run at most once. A ticket is an
// idempotency token that only the issuing process accepts; that process keeps the result in
// memory until the ticket expires.
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
// A Table is not safe for concurrent use.
//
// # Why no store is needed
//
// No external store is involved, so no lost answer, pause or partition of a store can make a
// request run twice. If the issuer's process ends, its memory is lost, and no other process
// accepts its tickets: the request may be lost, but cannot run again. A pause of the issuer is
// harmless, since the same process evaluates both the table and the expiry.
//
// # What the verdicts guarantee
//
// Full, Forged, OtherTeam and OtherBody mean that this attempt did not run. Full also means that
// no earlier one did, since used tickets are remembered until they expire. After Void, Expired
// and Forgotten an earlier attempt may have run (after Forgotten it has), so these must not be
// reported as "not run".
//
// Memory is bounded by the number of used tickets, in total and per team, and by the size of
// their answers. If an answer is dropped, its ticket stays marked as used.
package ticket
