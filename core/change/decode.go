package change

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"laburnumvane/core/codec"
)

// Decode parses a value. It rejects unknown fields: a proposer writes the whole value back, so a
// field it does not know would be lost to the newer build that wrote it.
func Decode(raw []byte) (Envelope, error) {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return Envelope{}, corruptError(err)
	}
	if head.Format > format {
		return Envelope{}, &Error{Op: "change.Decode", Kind: KindNewer, Err: errors.Errorf("format %d, this build reads %d", head.Format, format)}
	}
	var va value
	if err := decodeStrict(raw, &va); err != nil {
		return Envelope{}, corruptError(err)
	}
	en, err := va.envelope()
	if err != nil {
		return Envelope{}, corruptError(err)
	}
	return en, nil
}

// decodeStrict parses exactly one JSON value without unknown fields.
func decodeStrict(raw []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more follows after the value")
	}
	return nil
}

func (va value) envelope() (Envelope, error) {
	if va.Format != format {
		return Envelope{}, errors.Errorf("format %d", va.Format)
	}
	en := Envelope{DroppedUpTo: va.Cut}
	if va.Current != nil {
		en.Changes = append(en.Changes, *va.Current)
	}
	past, err := inflate(va.Past)
	if err != nil {
		return Envelope{}, errors.Wrap(err, "past")
	}
	en.Changes = append(en.Changes, past...)
	return en, en.check()
}

// maxPast bounds the decompressed size of the past. It is twice what Encode can produce, so that no
// value written by Encode is rejected.
const maxPast = 2 * (documentBytes + idLimit*(maxIDLen+maxActorLen+256))

func inflate(past []byte) ([]Entry, error) {
	if len(past) == 0 {
		return nil, nil
	}
	raw, err := codec.Inflate(past, maxPast)
	if err != nil {
		return nil, err
	}
	var ets []Entry
	return ets, decodeStrict(raw, &ets)
}

func corruptError(err error) error {
	return &Error{Op: "change.Decode", Kind: KindCorrupt, Err: err}
}

func (en Envelope) check() error {
	if cur, ok := en.Current(); ok && len(cur.Document) == 0 {
		return errors.New("the change in force has no document")
	}
	ids := make(map[string]bool, len(en.Changes))
	previous := uint64(0)
	for i, et := range en.Changes {
		switch {
		case et.ID == "" || ids[et.ID]:
			return errors.Errorf("change %d: id %q is empty or stands twice", i, et.ID)
		case et.Revision <= en.DroppedUpTo:
			return errors.Errorf("change %d: revision %d is not above the cut", i, et.Revision)
		case i > 0 && et.Revision >= previous:
			return errors.Errorf("change %d: revision %d is not below the one before", i, et.Revision)
		}
		ids[et.ID] = true
		previous = et.Revision
	}
	return nil
}
