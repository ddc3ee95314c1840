package change

import (
	"bytes"
	"encoding/json"

	"laburnumvane/core/codec"
)

const format = 1

// value is the stored form of an Envelope. The past is compressed, because each watching VM
// receives the whole value with every change, and the documents of one team differ in a few lines
// only.
type value struct {
	Format  int    `json:"format"`
	Current *Entry `json:"current,omitempty"`
	// Past is the deflated JSON array of the earlier changes, newest first.
	Past []byte `json:"past,omitempty"`
	Cut  uint64 `json:"cut,omitempty"`
}

// Encode returns the stored form of the envelope.
func (en Envelope) Encode() ([]byte, error) {
	va := value{Format: format, Cut: en.DroppedUpTo}
	if len(en.Changes) > 0 {
		va.Current = &en.Changes[0]
	}
	if len(en.Changes) > 1 {
		past, err := deflate(en.Changes[1:])
		if err != nil {
			return nil, &Error{Op: "change.Encode", Kind: KindCorrupt, Err: err}
		}
		va.Past = past
	}
	out, err := marshal(va)
	if err != nil {
		return nil, &Error{Op: "change.Encode", Kind: KindCorrupt, Err: err}
	}
	return out, nil
}

// marshal does not escape HTML characters, which would alter the operator's document.
func marshal(v any) ([]byte, error) {
	var bu bytes.Buffer
	ec := json.NewEncoder(&bu)
	ec.SetEscapeHTML(false)
	if err := ec.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimRight(bu.Bytes(), "\n"), nil
}

func deflate(ets []Entry) ([]byte, error) {
	raw, err := marshal(ets)
	if err != nil {
		return nil, err
	}
	return codec.Deflate(raw, codec.Small), nil
}
