package enlist

// TxnMost is how many entries one transaction may change, as the platform's store allows.
const TxnMost = 32

// Entry is what a VM has written of itself.
type Entry struct {
	Key        string
	Value      []byte
	DataCentre string
}

// Leased is an entry with the lease that it goes with.
type Leased struct {
	Entry
	Lease uint64
}

// Book collects entries that are to be written together. It is not safe for concurrent
// use.
type Book struct {
	entries []Entry
}

// Add puts an entry beside the others. One of the same key takes the place of the
// former: a caller that got no answer asks again.
func (bk *Book) Add(en Entry) {
	for i := range bk.entries {
		if bk.entries[i].Key == en.Key {
			bk.entries[i] = en
			return
		}
	}
	bk.entries = append(bk.entries, en)
}

// Drop takes an entry out that nobody waits for any more.
func (bk *Book) Drop(key string) {
	for i := range bk.entries {
		if bk.entries[i].Key == key {
			bk.entries = append(bk.entries[:i], bk.entries[i+1:]...)
			return
		}
	}
}

// Transactions is how many times Take has entries.
func (bk *Book) Transactions() int { return (len(bk.entries) + TxnMost - 1) / TxnMost }

// Take removes the entries of the next transaction, the oldest first.
func (bk *Book) Take() []Entry {
	n := min(len(bk.entries), TxnMost)
	taken := bk.entries[:n:n]
	bk.entries = bk.entries[n:]
	return taken
}
