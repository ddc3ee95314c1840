// Package server decides what state each upstream server is in, from replies,
// failures, hints that lag or lie, other VMs' signs and the configuration.
//
// # Usage
//
//	tb := server.New(server.Config{Rand: rnd, Last: mp.Last})
//	tb.Add(id, "10.0.0.7:9000")
//	for _, ac := range tb.Step(now, id, server.Event{Kind: server.Reply, Incarnation: 7, Good: 1}) {
//		// publish, probe or spread
//	}
//	at, ok := tb.Next() // when tb.Wake(now) is due
//
// The rules, strongest first:
//
//   - An old incarnation's news counts for nothing. Incarnations of one address
//     only grow; the one exception is a probe that was begun after the server
//     was gone: whoever answers it is the process there now. Of a server that
//     had said it leaves that is believed a minute later only.
//   - A sign of leaving (its own word in a reply or a hint, another VM's sign)
//     holds for the incarnation it names, whatever says later that it is well.
//   - Gone needs several failures of real traffic and failed probes as well, for
//     a wave of timeouts is more often our own overload than a dead server. A
//     shard's last replica is never gone, only suspect: with nothing better to
//     try, trying is free.
//   - Hints move a server out of unknown and mark it leaving. They never mend a
//     suspect by themselves, for a server can answer its health endpoint long
//     after it has stopped answering searches.
//
// A Table belongs to one goroutine. Times are monotonic, from process start.
package server
