package team

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxFaults bounds the length of an error: a document of a megabyte can contain far more
// faults than anyone would read.
const maxFaults = 100

// reader collects the faults of one document and tracks the current position in it. The path
// is formatted only for a fault.
type reader struct {
	steps   []step
	faults  []*Error
	omitted int
}

// step leads from a value to one inside it: by name if named is set, else by index.
type step struct {
	name  string
	named bool
	index int
}

// within calls read for a value inside the current one.
func (rd *reader) within(st step, read func()) {
	rd.steps = append(rd.steps, st)
	read()
	rd.steps = rd.steps[:len(rd.steps)-1]
}

// path formats the current position.
func (rd *reader) path() string {
	out := ""
	for _, st := range rd.steps {
		if st.named {
			out = joinPath(out, st.name)
			continue
		}
		out = fmt.Sprintf("%s[%d]", out, st.index)
	}
	return out
}

// add records a fault at the current position.
func (rd *reader) add(kind Kind, format string, args ...any) {
	rd.addAt(rd.path(), kind, format, args...)
}

func (rd *reader) addAt(path string, kind Kind, format string, args ...any) {
	if len(rd.faults) == maxFaults {
		rd.omitted++
		return
	}
	rd.faults = append(rd.faults, &Error{Op: opParse, Kind: kind, Path: path, Msg: fmt.Sprintf(format, args...)})
}

func (rd *reader) err() error {
	if len(rd.faults) == 0 {
		return nil
	}
	errs := make([]error, 0, len(rd.faults)+1)
	for _, flt := range rd.faults {
		errs = append(errs, flt)
	}
	if rd.omitted > 0 {
		errs = append(errs, &Error{Op: opParse, Kind: KindInvalid, Msg: fmt.Sprintf("%d further faults are left out", rd.omitted)})
	}
	return errors.Join(errs...)
}

// hasNoFaults reports whether no fault has been recorded at or below a path. Two fields are
// compared only if both were read without faults.
func (rd *reader) hasNoFaults(path string) bool {
	for _, flt := range rd.faults {
		if flt.Path == path || strings.HasPrefix(flt.Path, path+".") || strings.HasPrefix(flt.Path, path+"[") {
			return false
		}
	}
	return true
}

// expectType reports whether a value has the type, and records a fault if not.
func (rd *reader) expectType(raw json.RawMessage, typ jsonType, what string) bool {
	got := typeOf(raw)
	if got == typ {
		return true
	}
	rd.add(KindType, "is %s, must be %s%s", got, what, unitHint(raw, what))
	return false
}

// field defines one field of an object that is decoded into a T: its name, its valid values
// and its schema.
type field[T any] struct {
	name     string
	required bool
	node     schemaNode
	read     func(rd *reader, raw json.RawMessage, into *T)
}

// readObject decodes an object that may have only these fields.
func readObject[T any](rd *reader, raw json.RawMessage, flds []field[T]) T {
	var val T
	if !rd.expectType(raw, typeObject, "an object") {
		return val
	}
	// One bit per field that has occurred.
	seen := uint64(0)
	eachMember(raw, func(name string, sub json.RawMessage) {
		rd.within(step{name: name, named: true}, func() {
			index := indexOf(flds, name)
			switch {
			case index < 0:
				rd.add(KindUnknown, "there is no such field%s", nameHint(name, fieldNames(flds)))
			case seen&(1<<index) != 0:
				rd.add(KindInvalid, "appears twice")
			default:
				seen |= 1 << index
				flds[index].read(rd, sub, &val)
			}
		})
	})
	for i, fld := range flds {
		if fld.required && seen&(1<<i) == 0 {
			rd.within(step{name: fld.name, named: true}, func() { rd.add(KindMissing, "is required") })
		}
	}
	return val
}

// readMap decodes an object whose member names are chosen by the operators.
func readMap[T any](rd *reader, raw json.RawMessage, flds []field[T]) map[string]T {
	vals := map[string]T{}
	if !rd.expectType(raw, typeObject, "an object") {
		return vals
	}
	eachMember(raw, func(name string, sub json.RawMessage) {
		rd.within(step{name: name, named: true}, func() {
			if _, dup := vals[name]; dup {
				rd.add(KindInvalid, "appears twice")
				return
			}
			if !isName(name) {
				rd.add(KindInvalid, "is not a name: %s", nameRule)
			}
			vals[name] = readObject(rd, sub, flds)
		})
	})
	return vals
}

// readList decodes an array of objects.
func readList[T any](rd *reader, raw json.RawMessage, flds []field[T]) []T {
	if !rd.expectType(raw, typeArray, "an array") {
		return nil
	}
	var vals []T
	eachElement(raw, func(sub json.RawMessage) {
		rd.within(step{index: len(vals)}, func() { vals = append(vals, readObject(rd, sub, flds)) })
	})
	return vals
}

// indexOf returns the index of a field by its name, or -1.
func indexOf[T any](flds []field[T], name string) int {
	return slices.IndexFunc(flds, func(fld field[T]) bool { return fld.name == name })
}

func fieldNames[T any](flds []field[T]) []string {
	names := make([]string, 0, len(flds))
	for _, fld := range flds {
		names = append(names, fld.name)
	}
	return names
}

// joinPath appends a name to a path. A name that would make the path ambiguous is quoted.
func joinPath(path, name string) string {
	if name == "" || strings.ContainsFunc(name, needsQuoting) {
		return path + "[" + strconv.Quote(name) + "]"
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func needsQuoting(rn rune) bool {
	return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_", rn)
}
