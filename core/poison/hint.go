package poison

import "github.com/go-faster/errors"

// The compact encoding of a record in hints between VMs: the fingerprint, followed by each
// trial's name, prefixed with its length in one byte.

const (
	// maxHintTrials and maxNameLen bound the encoded names; names of servers are shorter.
	maxHintTrials = 4
	maxNameLen    = 255
)

var errHintLength = errors.New("record truncated or too long")

// EncodeHint returns the compact encoding. Further names, and names that are too long, are left
// out; other VMs get them through the store.
func (rd Record) EncodeHint() string {
	out := append([]byte(nil), rd.Fingerprint[:]...)
	for n, name := range rd.Trials {
		if n == maxHintTrials || len(name) > maxNameLen {
			break
		}
		out = append(out, byte(len(name)))
		out = append(out, name...)
	}
	return string(out)
}

// ParseHint parses the result of EncodeHint.
func ParseHint(word string) (Record, error) {
	var rd Record
	if len(word) < len(rd.Fingerprint) {
		return rd, &Error{Op: "poison.ParseWord", Kind: KindFormat, Err: errHintLength}
	}
	copy(rd.Fingerprint[:], word)
	rest := word[len(rd.Fingerprint):]
	for len(rest) > 0 {
		size := int(rest[0])
		if len(rest) < 1+size || len(rd.Trials) == maxHintTrials {
			return Record{}, &Error{Op: "poison.ParseWord", Kind: KindFormat, Err: errHintLength}
		}
		rd.Trials = append(rd.Trials, rest[1:1+size])
		rest = rest[1+size:]
	}
	return rd, nil
}
