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

// Keywords of the query language; fields of these names cannot be matched.
const (
	keywordText    = "text"
	keywordOrderBy = "orderBy"
)

// Query is a parsed query: a JSON object whose conditions must all hold. A field's name matches
// that exact value, "text" matches a substring of any string field, and "orderBy" is the name
// of the field that hits are ordered by. An empty object matches all members.
type Query struct {
	exact   map[string]any
	text    string
	orderBy string
}

// ParseQuery parses a query from JSON. Errors are of KindQuery.
func ParseQuery(raw json.RawMessage) (Query, error) {
	const op = "ParseQuery"
	var conditions map[string]any
	if err := json.Unmarshal(raw, &conditions); err != nil {
		return Query{}, newError(op, KindQuery, err)
	}
	if conditions == nil {
		return Query{}, errorf(op, KindQuery, "not an object")
	}
	qu := Query{orderBy: FieldMember, exact: conditions}
	for keyword, into := range map[string]*string{keywordText: &qu.text, keywordOrderBy: &qu.orderBy} {
		val, found := conditions[keyword]
		if !found {
			continue
		}
		str, ok := val.(string)
		if !ok || str == "" {
			return Query{}, errorf(op, KindQuery, "%q needs a string", keyword)
		}
		*into = str
		delete(conditions, keyword)
	}
	return qu, nil
}

// Matches reports whether a member satisfies all conditions.
func (qu Query) Matches(me *Member) bool {
	for name, want := range qu.exact {
		got, ok := me.Fields[name]
		if !ok || !sameValue(got, want) {
			return false
		}
	}
	return qu.text == "" || hasText(me, qu.text)
}

// Run searches one shard. Hits are ordered by key and then by member; more reports whether the
// limit omitted some. A limit of 0 or less means no limit.
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

// Key returns the sort key of a hit; keys compare as strings. A number is encoded in
// hexadecimal so that smaller numbers come first; a field that is missing or of another type
// gives the empty key.
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

// numberKey flips bits of a float so that its bytes sort as the number does: the sign bit of a
// positive number, all bits of a negative one.
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
