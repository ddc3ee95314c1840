package poison

import "github.com/go-faster/errors"

// A record as a word that VMs pass on to each other at once: the fingerprint, and each
// trial's name behind its length.

const (
	// mostWordTrials and mostNameLen bound what a word names; a server's name is shorter.
	mostWordTrials = 4
	mostNameLen    = 255
)

var errWord = errors.New("it ends too soon, or goes on")

// Word is the record as a word. Names beyond the first ones, and those that are too long,
// are left out: others hear of them by way of the store.
func (rd Record) Word() string {
	out := append([]byte(nil), rd.Fingerprint[:]...)
	for n, name := range rd.Trials {
		if n == mostWordTrials || len(name) > mostNameLen {
			break
		}
		out = append(out, byte(len(name)))
		out = append(out, name...)
	}
	return string(out)
}

// ParseWord reads what Word wrote.
func ParseWord(word string) (Record, error) {
	var rd Record
	if len(word) < len(rd.Fingerprint) {
		return rd, &Error{Op: "poison.ParseWord", Kind: KindFormat, Err: errWord}
	}
	copy(rd.Fingerprint[:], word)
	rest := word[len(rd.Fingerprint):]
	for len(rest) > 0 {
		size := int(rest[0])
		if len(rest) < 1+size || len(rd.Trials) == mostWordTrials {
			return Record{}, &Error{Op: "poison.ParseWord", Kind: KindFormat, Err: errWord}
		}
		rd.Trials = append(rd.Trials, rest[1:1+size])
		rest = rest[1+size:]
	}
	return rd, nil
}
