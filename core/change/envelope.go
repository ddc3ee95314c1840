package change

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Prefix is the subtree of all teams.
const Prefix = "teams/"

const keySuffix = "/config"

// KeyOf is the key of a team's configuration.
func KeyOf(team string) string {
	return Prefix + team + keySuffix
}

// TeamOf is the team of a key; ok is false for other keys.
func TeamOf(key string) (team string, ok bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", false
	}
	team, ok = strings.CutSuffix(rest, keySuffix)
	return team, ok && team != "" && !strings.Contains(team, "/")
}

// Bounds of what the value keeps of the past. Ids outlive documents: they are
// what settles a lost answer, and they are small.
const (
	documentLimit = 32
	documentBytes = 512 << 10
	idLimit       = 64
)

// MaxDocument is the largest document in bytes. With the bounds above a value
// stays below the megabyte that the service takes.
const MaxDocument = 768 << 10

// Entry is one accepted change.
type Entry struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	Actor    string `json:"actor,omitempty"`
	UnixMs   int64  `json:"unixMs"`
	// Document is as the operator wrote it, but for white space; it is empty
	// where the history keeps no more than the id.
	Document json.RawMessage `json:"document,omitempty"`
	// Sum is the hash of a document that is no longer kept.
	Sum string `json:"sum,omitempty"`
}

// Same tells whether the entry's document is raw, white space aside.
func (et Entry) Same(raw []byte) bool {
	sum := et.Sum
	if len(et.Document) > 0 {
		sum = sumOf(et.Document)
	}
	return sum == sumOf(raw)
}

// withoutDocument keeps of the document only its hash.
func (et Entry) withoutDocument() Entry {
	if len(et.Document) > 0 {
		et.Sum = sumOf(et.Document)
		et.Document = nil
	}
	return et
}

func sumOf(raw []byte) string {
	return strconv.FormatUint(xxhash.Sum64(compact(raw)), 16)
}

// compact drops white space; what is no JSON stays as it is.
func compact(raw []byte) []byte {
	var bu bytes.Buffer
	if err := json.Compact(&bu, raw); err != nil {
		return raw
	}
	return bu.Bytes()
}

// Envelope is the value of a team's key: its changes, newest first.
type Envelope struct {
	Changes []Entry
	// Cut is the highest revision that the history no longer lists; 0 while
	// it is whole.
	Cut uint64
}

// Current is the change in force; ok is false before the first.
func (en Envelope) Current() (Entry, bool) {
	if len(en.Changes) == 0 {
		return Entry{}, false
	}
	return en.Changes[0], true
}

// Revision is the revision in force; 0 before the first change.
func (en Envelope) Revision() uint64 {
	cur, _ := en.Current()
	return cur.Revision
}

// Find returns the change with an id.
func (en Envelope) Find(id string) (Entry, bool) {
	for _, et := range en.Changes {
		if et.ID == id {
			return et, true
		}
	}
	return Entry{}, false
}

// WholeSince tells whether the history lists every change after a revision. If
// it does, a change made from that revision that is not listed was never made.
func (en Envelope) WholeSince(revision uint64) bool {
	return en.Cut <= revision
}

// WithChange returns the envelope after one more change, whose revision is one
// above both the last and floor. Floor is the highest revision known elsewhere:
// a service that came back from a backup must not hand out a revision twice.
func (en Envelope) WithChange(et Entry, floor uint64) Envelope {
	et.Revision = max(en.Revision(), floor) + 1
	return en.with(et)
}

// WithRestored returns the envelope with a change that was accepted before and
// that the service has lost since; it keeps its id and revision.
func (en Envelope) WithRestored(et Entry) Envelope {
	return en.with(et)
}

func (en Envelope) with(et Entry) Envelope {
	changes := make([]Entry, 0, min(len(en.Changes)+1, idLimit))
	changes = append(changes, et)
	size := len(et.Document)
	for _, old := range en.Changes {
		if len(changes) == idLimit {
			// The list is newest first: this is the highest that is dropped.
			en.Cut = max(en.Cut, old.Revision)
			break
		}
		size += len(old.Document)
		if len(changes) >= documentLimit || size > documentBytes {
			old = old.withoutDocument()
		}
		changes = append(changes, old)
	}
	en.Changes = changes
	return en
}
