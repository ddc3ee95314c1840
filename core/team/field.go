package team

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// Rules for the names of teams, searches, registers, services and data centres.
const (
	namePattern = "^[a-z0-9-]{1,64}$"
	nameRule    = "1 to 64 of a-z, 0-9 and -"
	nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789-"
	maxName     = 64
)

// addrPattern is the schema's pattern of an address; Parse is stricter.
const addrPattern = `^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:.]+\]):[1-9][0-9]{0,4}$`

func isName(text string) bool {
	return text != "" && len(text) <= maxName && strings.Trim(text, nameLetters) == ""
}

// unit describes in messages what a number counts.
type unit string

// Units used by the format.
const (
	unitCount  unit = "whole number"
	unitMillis unit = "whole number of milliseconds"
	unitShare  unit = "share"
	unitRate   unit = "number a second"
)

// integerField defines a field with a whole number from lo to hi.
func integerField[T any, N ~int | ~int64](name, doc string, un unit, lo, hi N, ptr func(*T) *N) field[T] {
	what := fmt.Sprintf("a %s from %d to %d", un, lo, hi)
	if lo == hi {
		what = fmt.Sprintf("%d", lo)
	}
	read := func(rd *reader, raw json.RawMessage, into *T) {
		if !rd.expectType(raw, typeNumber, what) {
			return
		}
		num, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || num < int64(lo) || num > int64(hi) {
			rd.add(KindInvalid, "is %s, must be %s", truncateRaw(raw), what)
			return
		}
		*ptr(into) = N(num)
	}
	node := schemaNode{Type: "integer", Description: doc, Minimum: floatPtr(lo), Maximum: floatPtr(hi)}
	return field[T]{name: name, node: node, read: read}
}

// numberField defines a field with a number from lo to hi.
func numberField[T any](name, doc string, un unit, lo, hi float64, ptr func(*T) *float64) field[T] {
	what := fmt.Sprintf("a %s from %s to %s", un, decimal(lo), decimal(hi))
	node := schemaNode{Type: "number", Description: doc, Minimum: floatPtr(lo), Maximum: floatPtr(hi)}
	return floatField(name, what, node, ptr, func(num float64) bool { return num >= lo && num <= hi })
}

// quantileField defines a field with 0 or a number of at least lo and less than 1.
func quantileField[T any](name, doc string, lo float64, ptr func(*T) *float64) field[T] {
	what := fmt.Sprintf("0, or at least %s and less than 1", decimal(lo))
	zero, one := 0.0, 1.0
	node := schemaNode{Type: "number", Description: doc, AnyOf: []schemaNode{
		{Const: &zero},
		{Minimum: &lo, ExclusiveMaximum: &one},
	}}
	return floatField(name, what, node, ptr, func(num float64) bool { return num == 0 || (num >= lo && num < 1) })
}

// floatField defines a field with a number that valid accepts.
func floatField[T any](name, what string, node schemaNode, ptr func(*T) *float64, valid func(float64) bool) field[T] {
	read := func(rd *reader, raw json.RawMessage, into *T) {
		if !rd.expectType(raw, typeNumber, what) {
			return
		}
		num, err := strconv.ParseFloat(string(raw), 64)
		if err != nil || !valid(num) {
			rd.add(KindInvalid, "is %s, must be %s", truncateRaw(raw), what)
			return
		}
		*ptr(into) = num
	}
	return field[T]{name: name, node: node, read: read}
}

// boolField defines a field with true or false.
func boolField[T any](name, doc string, ptr func(*T) *bool) field[T] {
	read := func(rd *reader, raw json.RawMessage, into *T) {
		if rd.expectType(raw, typeBool, "true or false") {
			*ptr(into) = string(raw) == "true"
		}
	}
	return field[T]{name: name, node: schemaNode{Type: "boolean", Description: doc}, read: read}
}

// nameField defines a required field with a name.
func nameField[T any](name, doc string, ptr func(*T) *string) field[T] {
	node := schemaNode{Type: "string", Description: doc, Pattern: namePattern}
	return stringField(name, "a name", node, func(rd *reader, val string, into *T) {
		if !isName(val) {
			rd.add(KindInvalid, "is %q, must be a name: %s", truncate(val), nameRule)
			return
		}
		*ptr(into) = val
	})
}

// addressField defines a required field with an IP address and a port.
func addressField[T any](name, doc string, ptr func(*T) *string) field[T] {
	node := schemaNode{Type: "string", Description: doc, Pattern: addrPattern}
	return stringField(name, "an address", node, func(rd *reader, val string, into *T) {
		if msg := addressFault(val); msg != "" {
			rd.add(KindInvalid, "is %q, %s", truncate(val), msg)
			return
		}
		*ptr(into) = val
	})
}

// addressFault returns what is wrong with an address, or "".
func addressFault(val string) string {
	ap, err := netip.ParseAddrPort(val)
	switch {
	case err != nil:
		return "must be an IP address and a port, such as 10.1.2.3:9000 or [fd00::3]:9000"
	case ap.Port() == 0:
		return "must have a port from 1 to 65535"
	case ap.Addr().IsUnspecified() || ap.Addr().IsMulticast():
		return "must be the address of one server"
	case ap.Addr().Zone() != "":
		return "must not have a zone: it means something else on every VM"
	}
	return ""
}

// enumField defines a required field with one of several words.
func enumField[T any, S ~string](name, doc string, words []S, ptr func(*T) *S) field[T] {
	list := make([]string, 0, len(words))
	for _, word := range words {
		list = append(list, string(word))
	}
	what := "one of " + strings.Join(list, ", ")
	node := schemaNode{Type: "string", Description: doc, Enum: list}
	return stringField(name, what, node, func(rd *reader, val string, into *T) {
		for _, word := range words {
			if val == string(word) {
				*ptr(into) = word
				return
			}
		}
		rd.add(KindInvalid, "is %q, must be %s", truncate(val), what)
	})
}

// stringField defines a required field with a string that use validates and stores.
func stringField[T any](name, what string, node schemaNode, use func(rd *reader, val string, into *T)) field[T] {
	read := func(rd *reader, raw json.RawMessage, into *T) {
		if !rd.expectType(raw, typeString, what) {
			return
		}
		use(rd, stringValue(raw), into)
	}
	return field[T]{name: name, required: true, node: node, read: read}
}

// objectField defines a field with a nested object. Absent, it is the zero value.
func objectField[T, S any](name, doc string, flds []field[S], ptr func(*T) *S) field[T] {
	node := objectNode(doc, flds)
	read := func(rd *reader, raw json.RawMessage, into *T) {
		*ptr(into) = readObject(rd, raw, flds)
	}
	return field[T]{name: name, node: node, read: read}
}

// mapField defines a required field with at least minEntries objects under names that the
// operators choose.
func mapField[T, S any](name, doc string, minEntries int, flds []field[S], ptr func(*T) *map[string]S) field[T] {
	sub := objectNode("", flds)
	node := schemaNode{
		Type: "object", Description: doc, MinProperties: minEntries,
		PropertyNames: &schemaNode{Pattern: namePattern}, AdditionalProperties: &sub,
	}
	read := func(rd *reader, raw json.RawMessage, into *T) {
		vals := readMap(rd, raw, flds)
		if typeOf(raw) == typeObject && len(vals) < minEntries {
			rd.add(KindInvalid, "is empty, must have at least %d", minEntries)
		}
		*ptr(into) = vals
	}
	return field[T]{name: name, required: true, node: node, read: read}
}

// listField defines a required field with an array of at least one object.
func listField[T, S any](name, doc string, flds []field[S], ptr func(*T) *[]S) field[T] {
	sub := objectNode("", flds)
	node := schemaNode{Type: "array", Description: doc, MinItems: 1, Items: &sub}
	read := func(rd *reader, raw json.RawMessage, into *T) {
		vals := readList(rd, raw, flds)
		if typeOf(raw) == typeArray && len(vals) == 0 {
			rd.add(KindInvalid, "is empty, must have at least 1")
		}
		*ptr(into) = vals
	}
	return field[T]{name: name, required: true, node: node, read: read}
}

// required returns the field as a required one.
func required[T any](fld field[T]) field[T] {
	fld.required = true
	return fld
}

// withDefault returns the field with the default value for its schema.
func withDefault[T any](fld field[T], val float64) field[T] {
	fld.node.Default = &val
	return fld
}

func decimal(num float64) string {
	return strconv.FormatFloat(num, 'f', -1, 64)
}

// truncateRaw returns a value in a length that is suitable for a message.
func truncateRaw(raw json.RawMessage) string {
	return truncate(string(raw))
}

func truncate(val string) string {
	const maxLen = 80
	if len(val) <= maxLen {
		return val
	}
	return strings.ToValidUTF8(val[:maxLen], "") + "..."
}
