// Package server derives the state of each upstream server from replies, failures, hints of the
// load endpoint (which may lag or be wrong), signs sent by other VMs, and the configuration.
//
// # Usage
//
//	tb := server.New(server.Config{Rand: rnd, IsLastReplica: mp.IsLastReplica})
//	tb.Add(id, "10.0.0.7:9000")
//	for _, ac := range tb.Step(now, id, server.Event{Kind: server.Reply, Incarnation: 7, Good: 1}) {
//		// publish, probe or spread
//	}
//	at, ok := tb.Next() // when tb.Wake(now) is due
//
// The rules, in order of precedence:
//
//   - Events of an older incarnation are ignored. The incarnations of an address
//     only increase, with one exception: a probe started after the server was
//     gone is answered by the current process, whatever its incarnation. If the
//     old process had announced that it leaves, this holds only a minute later.
//   - An announcement that a server leaves (its own, in a reply or a hint, or
//     another VM's sign) holds for the incarnation it names, even if later
//     events show that incarnation healthy.
//   - A server becomes gone only after several failures of real traffic and
//     failed probes as well, because a wave of timeouts is more often caused by
//     an overload of this VM than by a crash. A shard's last replica becomes
//     suspect but never gone: there is nothing better to try, so trying it
//     costs nothing.
//   - Hints end the state unknown and report that a server leaves. They do not
//     end the state suspect, because a server may answer its health endpoint
//     long after it has stopped answering searches.
//
// A Table is not safe for concurrent use. Times are monotonic, from process start.
package server
