package mirror

// DefaultHistory is how many events a replica keeps for others; a VM that is
// further behind gets a full copy.
const DefaultHistory = 1024

// Item is an entry of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	// Lease is the lease that the entry is bound to; 0 if there is none or it is unknown.
	Lease uint64
}

// Event is an entry that was written or, without a value, removed.
type Event struct {
	Item
	Removed bool
}

// Update is the set of changes after some revision, or a full copy.
type Update struct {
	// Full is set if Events is a full copy: entries that are not among them no longer
	// exist.
	Full   bool
	Events []Event
	// AsOf is the store's revision up to which the update reaches.
	AsOf uint64
}

// Replica is a copy of the store's entries together with its recent history. It is not safe
// for concurrent use.
type Replica struct {
	items map[string]Item
	asOf  uint64
	// log holds the latest events, oldest first. It is complete after the revision
	// logSince.
	log      []Event
	logSince uint64
	history  int
	known    bool
}

// NewReplica returns an empty replica that keeps up to history events.
func NewReplica(history int) *Replica {
	return &Replica{items: make(map[string]Item), history: history}
}

// Loaded reports whether a full copy was ever applied.
func (re *Replica) Loaded() bool { return re.known }

// AsOf returns the revision up to which the replica is complete.
func (re *Replica) AsOf() uint64 { return re.asOf }

// Len returns the number of entries.
func (re *Replica) Len() int { return len(re.items) }

// Apply applies an update and returns the resulting changes. An update that ends before the
// replica's revision is ignored, since it would restore removed entries.
func (re *Replica) Apply(up Update) []Event {
	if up.Full {
		return re.applyFull(up)
	}
	return re.applyChanges(up)
}

func (re *Replica) applyChanges(up Update) []Event {
	if !re.known || up.AsOf < re.asOf {
		return nil
	}
	changed := make([]Event, 0, len(up.Events))
	for _, ev := range up.Events {
		// Another source may have sent it while the store was asked.
		if ev.Revision <= re.asOf {
			continue
		}
		if re.put(ev) {
			changed = append(changed, ev)
		}
	}
	re.asOf = up.AsOf
	re.trim()
	return changed
}

func (re *Replica) put(ev Event) bool {
	old, ok := re.items[ev.Key]
	if ok && old.Revision >= ev.Revision {
		return false
	}
	if ev.Removed {
		delete(re.items, ev.Key)
	} else {
		re.items[ev.Key] = ev.Item
	}
	// The removal of an absent entry is logged too: other VMs may still have the entry.
	re.log = append(re.log, ev)
	return ok || !ev.Removed
}

func (re *Replica) trim() {
	over := len(re.log) - re.history
	if over <= 0 {
		return
	}
	for _, ev := range re.log[:over] {
		re.logSince = max(re.logSince, ev.Revision)
	}
	re.log = append(re.log[:0], re.log[over:]...)
}

// applyFull applies a full copy. Its pages may have been read one after another, so some
// entries may be newer than the copy's own revision; later events complete it.
func (re *Replica) applyFull(up Update) []Event {
	if re.known && up.AsOf < re.asOf {
		return nil
	}
	var changed []Event
	present := make(map[string]struct{}, len(up.Events))
	for _, ev := range up.Events {
		present[ev.Key] = struct{}{}
		old, ok := re.items[ev.Key]
		if ok && old.Revision >= ev.Revision {
			continue
		}
		re.items[ev.Key] = ev.Item
		changed = append(changed, ev)
	}
	for key, it := range re.items {
		// An entry that is newer than the copy was written while the copy was read.
		if _, ok := present[key]; ok || it.Revision > up.AsOf {
			continue
		}
		delete(re.items, key)
		changed = append(changed, Event{Item: Item{Key: key, Revision: up.AsOf}, Removed: true})
	}
	// The events that led to this copy are unknown: VMs that are behind get a full copy.
	re.log = nil
	re.logSince = up.AsOf
	re.asOf = up.AsOf
	re.known = true
	return changed
}

// Since returns the changes after a revision. ok is false if there are none: this replica is
// empty, or the given revision is not older than its own.
func (re *Replica) Since(after uint64) (Update, bool) {
	if !re.known || after >= re.asOf {
		return Update{}, false
	}
	if after < re.logSince || after == 0 {
		return re.fullCopy(), true
	}
	up := Update{AsOf: re.asOf}
	for _, ev := range re.log {
		if ev.Revision > after {
			up.Events = append(up.Events, ev)
		}
	}
	return up, true
}

func (re *Replica) fullCopy() Update {
	up := Update{Full: true, AsOf: re.asOf, Events: make([]Event, 0, len(re.items))}
	for _, it := range re.items {
		up.Events = append(up.Events, Event{Item: it})
	}
	return up
}
