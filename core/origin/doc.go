// Package origin holds the upstream servers behind the routes: the address of each server
// process, its service, and whether it may get new requests.
//
// # Usage
//
//	dir := origin.New(upstreams)
//	for _, up := range dir.OfService("members-07") {
//		if up.Accepting() { ... }
//	}
//
// A Directory is immutable. A Table maintains the current one while entries are written and
// removed:
//
//	tb := origin.NewTable(origin.Config{LapseGrace: 2500 * time.Millisecond})
//	changed := tb.Put(now, up)
//	changed = tb.Remove(now, id)
//	dir := tb.Directory()
//
// # Leaving
//
// Once a process has announced that it is leaving, this is final. An entry with an older
// sequence that arrives late must not revert it either: the server would get requests until it
// exits, and those would be lost. A server whose entry only lapsed, as behind a network
// partition, is used again after its next entry.
//
// # Restarts
//
// A server may restart under the same id, and its sequence then restarts too. The start time
// tells the processes apart: an entry of a later process takes effect at once, whatever state
// and address the earlier process had, and an entry of an earlier process is ignored however
// late it arrives.
//
// # Evacuation
//
// An operator may evacuate a data centre: after Table.Evacuate its servers get no new requests,
// whatever their own entries say, until Table.EndEvacuation.
//
// # Entries that lapse
//
// Entries can expire while the platform's store is unavailable, though their servers are
// running. Table.StoreReturned begins a period in which the removal of an entry proves nothing. A
// server whose entry is removed in this period stays usable until the period ends; a running
// server has written its entry again by then. Only then is the server dropped.
package origin
