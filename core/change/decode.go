package change

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// Decode reads a value. It is strict: a proposer writes the whole value back,
// so that a field it does not know would be lost to the newer build that wrote
// it.
func Decode(value []byte) (Envelope, error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(value, &head); err != nil {
		return Envelope{}, corrupt(err)
	}
	if head.Format > format {
		return Envelope{}, &Error{Op: "change.Decode", Kind: KindNewer, Err: errors.Errorf("format %d, this build reads %d", head.Format, format)}
	}
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	var en Envelope
	if err := dec.Decode(&en); err != nil {
		return Envelope{}, corrupt(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Envelope{}, corrupt(errors.New("more follows after the value"))
	}
	if err := en.check(); err != nil {
		return Envelope{}, corrupt(err)
	}
	return en, nil
}

func corrupt(err error) error {
	return &Error{Op: "change.Decode", Kind: KindCorrupt, Err: err}
}

func (en Envelope) check() error {
	if en.Format != format {
		return errors.Errorf("format %d", en.Format)
	}
	if cur, ok := en.Current(); ok && len(cur.Document) == 0 {
		return errors.New("the change in force has no document")
	}
	ids := make(map[string]bool, len(en.Changes))
	above := uint64(0)
	for i, et := range en.Changes {
		switch {
		case et.ID == "" || ids[et.ID]:
			return errors.Errorf("change %d: id %q is empty or stands twice", i, et.ID)
		case et.Revision <= en.Cut:
			return errors.Errorf("change %d: revision %d is not above the cut", i, et.Revision)
		case i > 0 && et.Revision >= above:
			return errors.Errorf("change %d: revision %d is not below the one before", i, et.Revision)
		}
		ids[et.ID] = true
		above = et.Revision
	}
	return nil
}
