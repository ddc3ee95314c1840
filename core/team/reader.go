package team

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxFaults bounds an error's length: a megabyte can hold far more faults than
// anybody reads.
const maxFaults = 100

// reader collects the faults of one document, and knows the place that it is
// reading. The path is put into words only for a fault.
type reader struct {
	place  []step
	faults []*Error
	more   int
}

// step leads from a value into one within it: by name, or by index where the
// name is not set.
type step struct {
	name  string
	named bool
	index int
}

// within reads one value inside the present one.
func (rd *reader) within(st step, read func()) {
	rd.place = append(rd.place, st)
	read()
	rd.place = rd.place[:len(rd.place)-1]
}

// path is the present place in words.
func (rd *reader) path() string {
	at := ""
	for _, st := range rd.place {
		if st.named {
			at = join(at, st.name)
			continue
		}
		at = fmt.Sprintf("%s[%d]", at, st.index)
	}
	return at
}

// add notes a fault of the present place.
func (rd *reader) add(kind Kind, format string, args ...any) {
	rd.addAt(rd.path(), kind, format, args...)
}

func (rd *reader) addAt(at string, kind Kind, format string, args ...any) {
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
func (rd *reader) want(raw json.RawMessage, typ jsonType, what string) bool {
	got := typeOf(raw)
	if got == typ {
		return true
	}
	rd.add(KindType, "is %s, must be %s%s", got, what, unitHint(raw, what))
	return false
}

// field is one field of an object that is read into a T: the one place that
// says what the field is called, what it may hold and how it is described.
type field[T any] struct {
	name     string
	required bool
	node     schemaNode
	read     func(rd *reader, raw json.RawMessage, into *T)
}

// readObject reads an object with exactly these fields.
func readObject[T any](rd *reader, raw json.RawMessage, flds []field[T]) T {
	var val T
	if !rd.want(raw, typeObject, "an object") {
		return val
	}
	// One bit for each field that has been seen.
	seen := uint64(0)
	eachMember(raw, func(name string, sub json.RawMessage) {
		rd.within(step{name: name, named: true}, func() {
			at := indexOf(flds, name)
			switch {
			case at < 0:
				rd.add(KindUnknown, "there is no such field%s", nameHint(name, fieldNames(flds)))
			case seen&(1<<at) != 0:
				rd.add(KindInvalid, "appears twice")
			default:
				seen |= 1 << at
				flds[at].read(rd, sub, &val)
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

// readMap reads an object whose names the operators choose.
func readMap[T any](rd *reader, raw json.RawMessage, flds []field[T]) map[string]T {
	vals := map[string]T{}
	if !rd.want(raw, typeObject, "an object") {
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

// readList reads an array of objects.
func readList[T any](rd *reader, raw json.RawMessage, flds []field[T]) []T {
	if !rd.want(raw, typeArray, "an array") {
		return nil
	}
	var vals []T
	eachElement(raw, func(sub json.RawMessage) {
		rd.within(step{index: len(vals)}, func() { vals = append(vals, readObject(rd, sub, flds)) })
	})
	return vals
}

// indexOf finds a field by its name, or gives -1.
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
