package change

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Prefix is the common prefix of the keys of all teams.
const Prefix = "teams/"

const keySuffix = "/config"

// KeyOf returns the key of a team's configuration.
func KeyOf(team string) string {
	return Prefix + team + keySuffix
}

// TeamOf returns the team of a key; ok is false for other keys.
func TeamOf(key string) (team string, ok bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", false
	}
	team, ok = strings.CutSuffix(rest, keySuffix)
	return team, ok && team != "" && !strings.Contains(team, "/")
}

// Bounds on the history in a value. Ids are kept longer than documents, because they are small and
// are needed to determine the result of a change whose answer was lost.
const (
	documentLimit = 32
	documentBytes = 512 << 10
	idLimit       = 64
)

// MaxDocument is the size limit of a document in bytes. Together with the bounds above, a value
// stays below the service's limit of one megabyte.
const MaxDocument = 768 << 10

// Entry is one accepted change.
type Entry struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	Actor    string `json:"actor,omitempty"`
	UnixMs   int64  `json:"unixMs"`
	// Document is the operator's document without insignificant white space; it is empty if the
	// history only keeps the id.
	Document json.RawMessage `json:"document,omitempty"`
	// Sum is the hash of the document if the document itself is no longer kept.
	Sum string `json:"sum,omitempty"`
}

// SameDocument reports whether the entry's document equals raw, ignoring white space.
func (et Entry) SameDocument(raw []byte) bool {
	sum := et.Sum
	if len(et.Document) > 0 {
		sum = sumOf(et.Document)
	}
	return sum == sumOf(raw)
}

// withoutDocument replaces the document by its hash.
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

// compact removes insignificant white space; invalid JSON is returned unchanged.
func compact(raw []byte) []byte {
	var bu bytes.Buffer
	if err := json.Compact(&bu, raw); err != nil {
		return raw
	}
	return bu.Bytes()
}

// Envelope is the decoded value of a team's key: its changes, newest first.
type Envelope struct {
	Changes []Entry
	// DroppedUpTo is the highest revision dropped from the history; 0 while the history is complete.
	DroppedUpTo uint64
}

// Current returns the change in force; ok is false before the first change.
func (en Envelope) Current() (Entry, bool) {
	if len(en.Changes) == 0 {
		return Entry{}, false
	}
	return en.Changes[0], true
}

// Revision returns the revision in force; 0 before the first change.
func (en Envelope) Revision() uint64 {
	cur, _ := en.Current()
	return cur.Revision
}

// Find returns the change with the id, and false if the history does not list it.
func (en Envelope) Find(id string) (Entry, bool) {
	for _, et := range en.Changes {
		if et.ID == id {
			return et, true
		}
	}
	return Entry{}, false
}

// CompleteSince reports whether the history lists every change after a revision. If it does, a
// change based on that revision that is not listed was never made.
func (en Envelope) CompleteSince(revision uint64) bool {
	return en.DroppedUpTo <= revision
}

// WithChange returns the envelope with one more change, whose revision is one above both the last
// revision and floor. Floor is the highest revision known elsewhere: a service restored from a
// backup must not assign a revision twice.
func (en Envelope) WithChange(et Entry, floor uint64) Envelope {
	et.Revision = max(en.Revision(), floor) + 1
	return en.prepend(et)
}

// WithRestored returns the envelope with a change that was accepted before and then lost by the
// service; the change keeps its id and revision.
func (en Envelope) WithRestored(et Entry) Envelope {
	return en.prepend(et)
}

func (en Envelope) prepend(et Entry) Envelope {
	changes := make([]Entry, 0, min(len(en.Changes)+1, idLimit))
	changes = append(changes, et)
	size := len(et.Document)
	for _, old := range en.Changes {
		if len(changes) == idLimit {
			// The list is newest first, so this is the highest revision that is dropped.
			en.DroppedUpTo = max(en.DroppedUpTo, old.Revision)
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
