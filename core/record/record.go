// Package record merges the fixed-size records of many shards and selects the greatest ones.
//
// # Usage
//
//	body := record.Greatest(parts, 20)
//
// The records of a shard are unordered and are compared byte by byte. Equal records are all kept.
// An incomplete record at the end of a part is ignored.
package record

import (
	"bytes"
	"sort"
)

// Size is the length of a record, in bytes.
const Size = 16

// Greatest returns the greatest records of all parts, at most limit, in descending order.
func Greatest(parts [][]byte, limit int) []byte {
	if limit <= 0 {
		return nil
	}
	kept := make([][]byte, 0, limit+1)
	for _, part := range parts {
		for len(part) >= Size {
			kept = insert(kept, part[:Size], limit)
			part = part[Size:]
		}
	}
	return bytes.Join(kept, nil)
}

// insert inserts a record in order and drops what exceeds the limit. Most records of a large
// gather are below the last one kept and cost a single comparison.
func insert(kept [][]byte, rec []byte, limit int) [][]byte {
	if len(kept) == limit && bytes.Compare(rec, kept[limit-1]) <= 0 {
		return kept
	}
	at := sort.Search(len(kept), func(i int) bool { return bytes.Compare(kept[i], rec) < 0 })
	kept = append(kept, nil)
	copy(kept[at+1:], kept[at:])
	kept[at] = rec
	if len(kept) > limit {
		kept = kept[:limit]
	}
	return kept
}
