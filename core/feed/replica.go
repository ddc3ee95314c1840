package feed

// DefaultHistory is how many events a replica keeps for others; a VM that is
// further behind takes a whole copy.
const DefaultHistory = 1024

// Item is one entry of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	// Lease is what the entry goes with; 0 if it stays, or that is not known.
	Lease uint64
}

// Event is an entry that was written or, without value, removed.
type Event struct {
	Item
	Removed bool
}

// Update is what changed after some revision.
type Update struct {
	// Whole is set if Events are all entries, and what is not among them is
	// gone.
	Whole  bool
	Events []Event
	// AsOf is the store's revision up to which the update reaches.
	AsOf uint64
}

// Replica is a copy of the store's entries. It is not safe for concurrent use.
type Replica struct {
	items map[string]Item
	asOf  uint64
	// log holds the latest events, oldest first, and since is the revision
	// after which it is complete.
	log     []Event
	since   uint64
	history int
	known   bool
}

// NewReplica makes an empty replica.
func NewReplica(history int) *Replica {
	return &Replica{items: make(map[string]Item), history: history}
}

// Known tells whether there ever was a whole copy.
func (re *Replica) Known() bool { return re.known }

// AsOf is the revision up to which the replica is complete.
func (re *Replica) AsOf() uint64 { return re.asOf }

// Len is the number of entries.
func (re *Replica) Len() int { return len(re.items) }

// Take applies an update and returns what it changed. An update that ends before
// what is known changes nothing: to take it would bring back what was removed.
func (re *Replica) Take(up Update) []Event {
	if up.Whole {
		return re.reset(up)
	}
	return re.apply(up)
}

func (re *Replica) apply(up Update) []Event {
	if !re.known || up.AsOf < re.asOf {
		return nil
	}
	changed := make([]Event, 0, len(up.Events))
	for _, ev := range up.Events {
		if re.put(ev) {
			changed = append(changed, ev)
		}
	}
	re.asOf = up.AsOf
	re.trim()
	return changed
}

func (re *Replica) put(ev Event) bool {
	was, ok := re.items[ev.Key]
	if ok && was.Revision >= ev.Revision {
		return false
	}
	if ev.Removed {
		delete(re.items, ev.Key)
	} else {
		re.items[ev.Key] = ev.Item
	}
	// A removal of what is not there is kept for others too: they may have it.
	re.log = append(re.log, ev)
	return ok || !ev.Removed
}

func (re *Replica) trim() {
	over := len(re.log) - re.history
	if over <= 0 {
		return
	}
	for _, ev := range re.log[:over] {
		re.since = max(re.since, ev.Revision)
	}
	re.log = append(re.log[:0], re.log[over:]...)
}

// reset takes a whole copy. Its pages may have been read one after another, so
// that entries are newer than the copy's own revision; the events that follow
// bring the rest.
func (re *Replica) reset(up Update) []Event {
	if re.known && up.AsOf < re.asOf {
		return nil
	}
	var changed []Event
	there := make(map[string]struct{}, len(up.Events))
	for _, ev := range up.Events {
		there[ev.Key] = struct{}{}
		was, ok := re.items[ev.Key]
		if ok && was.Revision >= ev.Revision {
			continue
		}
		re.items[ev.Key] = ev.Item
		changed = append(changed, ev)
	}
	for key, it := range re.items {
		// An entry that is newer than the copy was written while it was read.
		if _, ok := there[key]; ok || it.Revision > up.AsOf {
			continue
		}
		delete(re.items, key)
		changed = append(changed, Event{Item: Item{Key: key, Revision: up.AsOf}, Removed: true})
	}
	// Which events led here is not known: others that are behind take a copy.
	re.log = nil
	re.since = up.AsOf
	re.asOf = up.AsOf
	re.known = true
	return changed
}

// Since is what changed after a revision; ok is false if there is nothing to
// tell: no copy is here, or the one who asks knows as much.
func (re *Replica) Since(after uint64) (Update, bool) {
	if !re.known || after >= re.asOf {
		return Update{}, false
	}
	if after < re.since || after == 0 {
		return re.whole(), true
	}
	up := Update{AsOf: re.asOf}
	for _, ev := range re.log {
		if ev.Revision > after {
			up.Events = append(up.Events, ev)
		}
	}
	return up, true
}

func (re *Replica) whole() Update {
	up := Update{Whole: true, AsOf: re.asOf, Events: make([]Event, 0, len(re.items))}
	for _, it := range re.items {
		up.Events = append(up.Events, Event{Item: it})
	}
	return up
}
