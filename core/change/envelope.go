// Package change is the life of a team's configuration in the key-value
// service: one key for each team, whose value holds the document in force, its
// revision and the last changes.
//
// # Usage
//
//	en, err := change.Decode(pair.Value)
//	next := en.WithChange(change.Entry{ID: id, Actor: actor, Document: raw})
//	value, err := next.Encode()
//
// The last changes stand in the value itself, so that a compare-and-swap writes
// a change and the proof of it in one step.
package change

import (
	"encoding/json"
	"strings"
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

// historyLimit and historyBytes bound what the value keeps of the past.
const (
	historyLimit = 32
	historyBytes = 512 << 10
)

// Entry is one accepted change.
type Entry struct {
	ID       string          `json:"id"`
	Revision uint64          `json:"revision"`
	Actor    string          `json:"actor,omitempty"`
	UnixMs   int64           `json:"unixMs"`
	Document json.RawMessage `json:"document"`
}

// Envelope is the value of a team's key: its changes, newest first.
type Envelope struct {
	Format  int     `json:"format"`
	Changes []Entry `json:"changes"`
}

const format = 1

// Decode reads a value.
func Decode(value []byte) (Envelope, error) {
	var en Envelope
	if err := json.Unmarshal(value, &en); err != nil {
		return Envelope{}, &Error{Op: "change.Decode", Kind: KindCorrupt, Err: err}
	}
	return en, nil
}

// Encode writes the value.
func (en Envelope) Encode() ([]byte, error) {
	en.Format = format
	value, err := json.Marshal(en)
	if err != nil {
		return nil, &Error{Op: "change.Encode", Kind: KindCorrupt, Err: err}
	}
	return value, nil
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

// WithChange returns the envelope after one more change, whose revision is one
// above both the last and floor. Floor is the highest revision known elsewhere:
// a service that came back from a backup must not hand out a revision twice.
func (en Envelope) WithChange(et Entry, floor uint64) Envelope {
	et.Revision = max(en.Revision(), floor) + 1
	changes := make([]Entry, 0, len(en.Changes)+1)
	changes = append(changes, et)
	size := len(et.Document)
	for _, old := range en.Changes {
		size += len(old.Document)
		if len(changes) >= historyLimit || size > historyBytes {
			break
		}
		changes = append(changes, old)
	}
	en.Changes = changes
	return en
}
