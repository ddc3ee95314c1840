package enlist

// MaxTxnEntries is the largest number of entries that one transaction may change, a limit of the
// platform's store.
const MaxTxnEntries = 32

// Entry is the entry by which a VM registers itself in the store.
type Entry struct {
	Key        string
	Value      []byte
	DataCentre string
}

// LeasedEntry is an entry together with the lease that it is bound to.
type LeasedEntry struct {
	Entry
	Lease uint64
}

// Batch collects entries that are written to the store together. It is not safe for concurrent
// use.
type Batch struct {
	entries []Entry
}

// Add adds an entry. It replaces a pending entry of the same key, which comes from a caller
// that got no answer and asks again.
func (ba *Batch) Add(en Entry) {
	for i := range ba.entries {
		if ba.entries[i].Key == en.Key {
			ba.entries[i] = en
			return
		}
	}
	ba.entries = append(ba.entries, en)
}

// Drop removes a pending entry that no caller waits for any more.
func (ba *Batch) Drop(key string) {
	for i := range ba.entries {
		if ba.entries[i].Key == key {
			ba.entries = append(ba.entries[:i], ba.entries[i+1:]...)
			return
		}
	}
}

// Transactions returns how many transactions the pending entries take.
func (ba *Batch) Transactions() int { return (len(ba.entries) + MaxTxnEntries - 1) / MaxTxnEntries }

// Take removes and returns the entries of the next transaction, oldest first.
func (ba *Batch) Take() []Entry {
	n := min(len(ba.entries), MaxTxnEntries)
	taken := ba.entries[:n:n]
	ba.entries = ba.entries[n:]
	return taken
}
