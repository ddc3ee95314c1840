package enlist

// TxnMost is the largest number of entries that one transaction may change, a limit of the
// platform's store.
const MaxTxnEntries = 32

// Entry is the entry by which a VM registers itself in the store.
type Entry struct {
	Key        string
	Value      []byte
	DataCentre string
}

// Leased is an entry together with the lease that it is bound to.
type LeasedEntry struct {
	Entry
	Lease uint64
}

// Book collects entries that are written to the store together. It is not safe for concurrent
// use.
type Batch struct {
	entries []Entry
}

// Add adds an entry. It replaces a pending entry of the same key, which comes from a caller
// that got no answer and asks again.
func (bk *Batch) Add(en Entry) {
	for i := range bk.entries {
		if bk.entries[i].Key == en.Key {
			bk.entries[i] = en
			return
		}
	}
	bk.entries = append(bk.entries, en)
}

// Drop removes a pending entry that no caller waits for any more.
func (bk *Batch) Drop(key string) {
	for i := range bk.entries {
		if bk.entries[i].Key == key {
			bk.entries = append(bk.entries[:i], bk.entries[i+1:]...)
			return
		}
	}
}

// Transactions returns how many transactions the pending entries take.
func (bk *Batch) Transactions() int { return (len(bk.entries) + MaxTxnEntries - 1) / MaxTxnEntries }

// Take removes and returns the entries of the next transaction, oldest first.
func (bk *Batch) Take() []Entry {
	n := min(len(bk.entries), MaxTxnEntries)
	taken := bk.entries[:n:n]
	bk.entries = bk.entries[n:]
	return taken
}
