package change

import (
	"bytes"
	"encoding/json"

	"laburnumvane/core/press"
)

const format = 1

// value is an envelope as the service holds it. The past is compressed: each
// watching VM gets the whole value with every change, and the documents of one
// team differ in a few lines.
type value struct {
	Format  int    `json:"format"`
	Current *Entry `json:"current,omitempty"`
	// Past is the deflated JSON array of the changes before, newest first.
	Past []byte `json:"past,omitempty"`
	Cut  uint64 `json:"cut,omitempty"`
}

// Encode writes the value.
func (en Envelope) Encode() ([]byte, error) {
	va := value{Format: format, Cut: en.Cut}
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

// marshal leaves characters as they are; escaping would rewrite what the
// operator wrote.
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
	return press.Deflate(raw, press.Small), nil
}
