package team

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// Names of teams, searches, registers, services and data centres.
const (
	namePattern = "^[a-z0-9-]{1,64}$"
	nameRule    = "1 to 64 of a-z, 0-9 and -"
	nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789-"
	maxName     = 64
)

// addrPattern lets through what may be an address; the reader is stricter.
const addrPattern = `^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:.]+\]):[1-9][0-9]{0,4}$`

func isName(text string) bool {
	return text != "" && len(text) <= maxName && strings.Trim(text, nameLetters) == ""
}

// unit says what a number counts.
type unit string

// Units of the format.
const (
	unitCount  unit = "whole number"
	unitMillis unit = "whole number of milliseconds"
	unitShare  unit = "share"
	unitRate   unit = "number a second"
)

// whole is a field with a whole number from lo to hi.
func whole[T any, N ~int | ~int64](name, doc string, un unit, lo, hi N, ptr func(*T) *N) field[T] {
	what := fmt.Sprintf("a %s from %d to %d", un, lo, hi)
	if lo == hi {
		what = fmt.Sprintf("%d", lo)
	}
	read := func(rd *reader, raw json.RawMessage, into *T) {
		if !rd.want(raw, typeNumber, what) {
			return
		}
		num, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || num < int64(lo) || num > int64(hi) {
			rd.add(KindInvalid, "is %s, must be %s", shorten(raw), what)
			return
		}
		*ptr(into) = N(num)
	}
	node := schemaNode{Type: "integer", Description: doc, Minimum: bound(lo), Maximum: bound(hi)}
	return field[T]{name: name, node: node, read: read}
}

// fraction is a field with a number from lo to hi.
func fraction[T any](name, doc string, un unit, lo, hi float64, ptr func(*T) *float64) field[T] {
	what := fmt.Sprintf("a %s from %s to %s", un, decimal(lo), decimal(hi))
	node := schemaNode{Type: "number", Description: doc, Minimum: bound(lo), Maximum: bound(hi)}
	return numeric(name, what, node, ptr, func(num float64) bool { return num >= lo && num <= hi })
}

// quantile is a field with 0 or a number of at least lo and less than 1.
func quantile[T any](name, doc string, lo float64, ptr func(*T) *float64) field[T] {
	what := fmt.Sprintf("0, or at least %s and less than 1", decimal(lo))
	zero, one := 0.0, 1.0
	node := schemaNode{Type: "number", Description: doc, AnyOf: []schemaNode{
		{Const: &zero},
		{Minimum: &lo, ExclusiveMaximum: &one},
	}}
	return numeric(name, what, node, ptr, func(num float64) bool { return num == 0 || (num >= lo && num < 1) })
}

func numeric[T any](name, what string, node schemaNode, ptr func(*T) *float64, good func(float64) bool) field[T] {
	read := func(rd *reader, raw json.RawMessage, into *T) {
		if !rd.want(raw, typeNumber, what) {
			return
		}
		num, err := strconv.ParseFloat(string(raw), 64)
		if err != nil || !good(num) {
			rd.add(KindInvalid, "is %s, must be %s", shorten(raw), what)
			return
		}
		*ptr(into) = num
	}
	return field[T]{name: name, node: node, read: read}
}

// flag is a field with true or false.
func flag[T any](name, doc string, ptr func(*T) *bool) field[T] {
	read := func(rd *reader, raw json.RawMessage, into *T) {
		if rd.want(raw, typeBool, "true or false") {
			*ptr(into) = string(raw) == "true"
		}
	}
	return field[T]{name: name, node: schemaNode{Type: "boolean", Description: doc}, read: read}
}

// named is a required field with a name.
func named[T any](name, doc string, ptr func(*T) *string) field[T] {
	node := schemaNode{Type: "string", Description: doc, Pattern: namePattern}
	return text(name, "a name", node, func(rd *reader, val string, into *T) {
		if !isName(val) {
			rd.add(KindInvalid, "is %q, must be a name: %s", clip(val), nameRule)
			return
		}
		*ptr(into) = val
	})
}

// address is a required field with an IP address and a port.
func address[T any](name, doc string, ptr func(*T) *string) field[T] {
	node := schemaNode{Type: "string", Description: doc, Pattern: addrPattern}
	return text(name, "an address", node, func(rd *reader, val string, into *T) {
		if msg := addressFault(val); msg != "" {
			rd.add(KindInvalid, "is %q, %s", clip(val), msg)
			return
		}
		*ptr(into) = val
	})
}

// addressFault says what is wrong with an address, or "".
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

// choice is a required field with one of several words.
func choice[T any, S ~string](name, doc string, words []S, ptr func(*T) *S) field[T] {
	list := make([]string, 0, len(words))
	for _, word := range words {
		list = append(list, string(word))
	}
	what := "one of " + strings.Join(list, ", ")
	node := schemaNode{Type: "string", Description: doc, Enum: list}
	return text(name, what, node, func(rd *reader, val string, into *T) {
		for _, word := range words {
			if val == string(word) {
				*ptr(into) = word
				return
			}
		}
		rd.add(KindInvalid, "is %q, must be %s", clip(val), what)
	})
}

func text[T any](name, what string, node schemaNode, use func(rd *reader, val string, into *T)) field[T] {
	read := func(rd *reader, raw json.RawMessage, into *T) {
		if !rd.want(raw, typeString, what) {
			return
		}
		use(rd, textOf(raw), into)
	}
	return field[T]{name: name, required: true, node: node, read: read}
}

// object is a field with an object of its own.
func object[T, S any](name, doc string, flds []field[S], ptr func(*T) *S) field[T] {
	node := objectNode(doc, flds)
	read := func(rd *reader, raw json.RawMessage, into *T) {
		*ptr(into) = readObject(rd, raw, flds)
	}
	return field[T]{name: name, node: node, read: read}
}

// mapOf is a required field with objects under names of the operators' choice.
func mapOf[T, S any](name, doc string, least int, flds []field[S], ptr func(*T) *map[string]S) field[T] {
	sub := objectNode("", flds)
	node := schemaNode{
		Type: "object", Description: doc, MinProperties: least,
		PropertyNames: &schemaNode{Pattern: namePattern}, AdditionalProperties: &sub,
	}
	read := func(rd *reader, raw json.RawMessage, into *T) {
		vals := readMap(rd, raw, flds)
		if typeOf(raw) == typeObject && len(vals) < least {
			rd.add(KindInvalid, "is empty, must have at least %d", least)
		}
		*ptr(into) = vals
	}
	return field[T]{name: name, required: true, node: node, read: read}
}

// listOf is a required field with an array of at least one object.
func listOf[T, S any](name, doc string, flds []field[S], ptr func(*T) *[]S) field[T] {
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

// must makes a field a required one.
func must[T any](fld field[T]) field[T] {
	fld.required = true
	return fld
}

// withDefault states the value that stands for an absent field.
func withDefault[T any](fld field[T], val float64) field[T] {
	fld.node.Default = &val
	return fld
}

func decimal(num float64) string {
	return strconv.FormatFloat(num, 'f', -1, 64)
}

// shorten keeps a value from the document fit for a message.
func shorten(raw json.RawMessage) string {
	return clip(string(raw))
}

func clip(val string) string {
	const most = 80
	if len(val) <= most {
		return val
	}
	return strings.ToValidUTF8(val[:most], "") + "..."
}
