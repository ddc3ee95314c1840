package team

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxFaults bounds an error's length: a megabyte can hold far more faults than
// anybody reads.
const maxFaults = 100

// reader collects the faults of one document.
type reader struct {
	faults []*Error
	more   int
}

func (rd *reader) add(kind Kind, at, format string, args ...any) {
	if len(rd.faults) == maxFaults {
		rd.more++
		return
	}
	rd.faults = append(rd.faults, &Error{Op: opParse, Kind: kind, Path: at, Msg: fmt.Sprintf(format, args...)})
}

func (rd *reader) err() error {
	if len(rd.faults) == 0 {
		return nil
	}
	errs := make([]error, 0, len(rd.faults)+1)
	for _, flt := range rd.faults {
		errs = append(errs, flt)
	}
	if rd.more > 0 {
		errs = append(errs, &Error{Op: opParse, Kind: KindInvalid, Msg: fmt.Sprintf("%d further faults are left out", rd.more)})
	}
	return errors.Join(errs...)
}

// clean reports whether nothing at or below a path has been found faulty. A
// comparison of two fields is only worth making where both were read.
func (rd *reader) clean(at string) bool {
	for _, flt := range rd.faults {
		if flt.Path == at || strings.HasPrefix(flt.Path, at+".") || strings.HasPrefix(flt.Path, at+"[") {
			return false
		}
	}
	return true
}

// want reports whether a value has the type, and adds a fault where not.
func (rd *reader) want(at string, raw json.RawMessage, typ jsonType, what string) bool {
	got := typeOf(raw)
	if got == typ {
		return true
	}
	rd.add(KindType, at, "is %s, must be %s%s", got, what, unitHint(raw, what))
	return false
}

// field is one field of an object that is read into a T: the one place that
// says what the field is called, what it may hold and how it is described.
type field[T any] struct {
	name     string
	required bool
	node     schemaNode
	read     func(rd *reader, at string, raw json.RawMessage, into *T)
}

// readObject reads an object with exactly these fields.
func readObject[T any](rd *reader, at string, raw json.RawMessage, flds []field[T]) T {
	var val T
	if !rd.want(at, raw, typeObject, "an object") {
		return val
	}
	seen := make(map[string]bool, len(flds))
	for _, mem := range members(raw) {
		sub := join(at, mem.name)
		fld, ok := fieldNamed(flds, mem.name)
		switch {
		case !ok:
			rd.add(KindUnknown, sub, "there is no such field%s", nameHint(mem.name, fieldNames(flds)))
		case seen[mem.name]:
			rd.add(KindInvalid, sub, "appears twice")
		default:
			seen[mem.name] = true
			fld.read(rd, sub, mem.raw, &val)
		}
	}
	for _, fld := range flds {
		if fld.required && !seen[fld.name] {
			rd.add(KindMissing, join(at, fld.name), "is required")
		}
	}
	return val
}

// readMap reads an object whose names the operators choose.
func readMap[T any](rd *reader, at string, raw json.RawMessage, flds []field[T]) map[string]T {
	vals := map[string]T{}
	if !rd.want(at, raw, typeObject, "an object") {
		return vals
	}
	for _, mem := range members(raw) {
		sub := join(at, mem.name)
		if _, dup := vals[mem.name]; dup {
			rd.add(KindInvalid, sub, "appears twice")
			continue
		}
		if !isName(mem.name) {
			rd.add(KindInvalid, sub, "is not a name: %s", nameRule)
		}
		vals[mem.name] = readObject(rd, sub, mem.raw, flds)
	}
	return vals
}

// readList reads an array of objects.
func readList[T any](rd *reader, at string, raw json.RawMessage, flds []field[T]) []T {
	if !rd.want(at, raw, typeArray, "an array") {
		return nil
	}
	var vals []T
	for i, el := range elements(raw) {
		vals = append(vals, readObject(rd, fmt.Sprintf("%s[%d]", at, i), el, flds))
	}
	return vals
}

func fieldNamed[T any](flds []field[T], name string) (field[T], bool) {
	for _, fld := range flds {
		if fld.name == name {
			return fld, true
		}
	}
	return field[T]{}, false
}

func fieldNames[T any](flds []field[T]) []string {
	names := make([]string, 0, len(flds))
	for _, fld := range flds {
		names = append(names, fld.name)
	}
	return names
}

// join adds a name to a path; a name that would blur the path is quoted.
func join(at, name string) string {
	if name == "" || strings.ContainsFunc(name, blursPath) {
		return at + "[" + strconv.Quote(name) + "]"
	}
	if at == "" {
		return name
	}
	return at + "." + name
}

func blursPath(rn rune) bool {
	return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_", rn)
}
