package emul

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"math"
	"reflect"
	"sort"
	"strings"

	"laburnumvane/io/wire"
)

// Words of the query language; they cannot be matched as field names.
const (
	wordText    = "text"
	wordOrderBy = "orderBy"
)

// Query is a parsed query: a JSON object whose members must all hold. A field's
// name with a value asks for exactly that value, "text" for a substring of any
// string field, and "orderBy" names the field that hits are ordered by. An
// empty object finds all.
type Query struct {
	exact   map[string]any
	text    string
	orderBy string
}

// ParseQuery reads a query.
func ParseQuery(raw json.RawMessage) (Query, error) {
	const op = "ParseQuery"
	var words map[string]any
	if err := json.Unmarshal(raw, &words); err != nil {
		return Query{}, newError(op, KindQuery, err)
	}
	if words == nil {
		return Query{}, errorf(op, KindQuery, "not an object")
	}
	qu := Query{orderBy: FieldMember, exact: words}
	for word, into := range map[string]*string{wordText: &qu.text, wordOrderBy: &qu.orderBy} {
		val, given := words[word]
		if !given {
			continue
		}
		str, ok := val.(string)
		if !ok || str == "" {
			return Query{}, errorf(op, KindQuery, "%q needs a string", word)
		}
		*into = str
		delete(words, word)
	}
	return qu, nil
}

// Matches tells whether a member fits.
func (qu Query) Matches(me *Member) bool {
	for name, want := range qu.exact {
		got, held := me.Fields[name]
		if !held || !sameValue(got, want) {
			return false
		}
	}
	return qu.text == "" || hasText(me, qu.text)
}

// Run searches one shard. Hits are ordered by key and then by member; more
// tells that the limit cut some off. A limit of 0 or less means none.
func (qu Query) Run(sn *Snapshot, shard, limit int) (hits []wire.Hit, more bool) {
	for _, me := range sn.Members(shard) {
		if qu.Matches(me) {
			hits = append(hits, wire.Hit{Member: me.ID, Key: qu.Key(me), Fields: me.Raw})
		}
	}
	sort.SliceStable(hits, func(i, j int) bool { return hits[i].Key < hits[j].Key })
	if limit > 0 && len(hits) > limit {
		return hits[:limit:limit], true
	}
	return hits, false
}

// Key is what a hit is ordered by, such that keys compare as strings. A number
// is spelled in hexadecimal so that smaller numbers come first; a field that is
// missing or of another type gives the empty key.
func (qu Query) Key(me *Member) string {
	switch val := me.Fields[qu.orderBy].(type) {
	case string:
		return val
	case float64:
		return numberKey(val)
	default:
		return ""
	}
}

// numberKey flips the bits of a float so that its bytes sort as the number
// does: the sign bit of a positive one, all bits of a negative one.
func numberKey(num float64) string {
	const sign = 1 << 63
	bits := math.Float64bits(num + 0) // turns -0 into 0
	if bits&sign != 0 {
		bits = ^bits
	} else {
		bits |= sign
	}
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, bits))
}

func sameValue(got, want any) bool {
	switch val := want.(type) {
	case string:
		str, ok := got.(string)
		return ok && str == val
	default:
		return reflect.DeepEqual(got, want)
	}
}

func hasText(me *Member, text string) bool {
	for _, val := range me.Fields {
		if str, ok := val.(string); ok && strings.Contains(str, text) {
			return true
		}
	}
	return false
}
