// Package origin holds the upstream servers behind the routes: which process
// stands where, for which service, and whether it may get new requests.
//
// # Usage
//
//	dir := origin.New(upstreams)
//	for _, up := range dir.Of("members-07") {
//		if up.Takes() { ... }
//	}
//
// A Directory is immutable. Table keeps one current while entries come and go:
//
//	tb := origin.NewTable(origin.Config{Linger: 2500 * time.Millisecond})
//	changed := tb.Put(now, up)
//	changed = tb.Remove(now, id)
//	dir := tb.Directory()
//
// # Leaving
//
// A process that said that it is leaving stays so. An entry that arrives late, with
// an older sequence, must not bring it back either, or the server would get
// requests until it exits, and those would be lost. One whose entry only lapsed,
// as behind a partition, is back with its next entry.
//
// # Another life
//
// A server may start again under its id, and its sequence starts anew. The time of
// its start parts the lives: an entry of a later one is in force at once, whatever
// the former one said and wherever it stood, and an entry of a former one changes
// nothing, however late it comes.
//
// # Evacuation
//
// An operator may have a data centre evacuated: Table.Evacuate has all of its servers get
// nothing new, whatever their own entries say, until Table.Return.
//
// # Entries that lapse
//
// Entries can lapse while the platform's store is away, though their servers
// live. Table.Suspect begins and ends such a time. What is removed within it
// stays usable until the time ends, by when a live server has written its entry
// again; only then is it dropped.
package origin
