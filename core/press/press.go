// Package press compresses what VMs send each other and what is kept in the
// store: configurations repeat themselves, and links and values are small.
//
// # Usage
//
//	packed := press.Deflate(raw, press.Fast)
//	raw, err := press.Inflate(packed, mostBytes)
package press

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// Level is how much time is spent on a smaller result.
type Level int

const (
	// Fast is for what is sent once.
	Fast Level = flate.BestSpeed
	// Small is for what is kept and read often.
	Small Level = flate.BestCompression
)

// Kind says why compressed bytes were not taken.
type Kind string

// Kinds of errors.
const (
	// KindBroken: the bytes are no deflate stream.
	KindBroken Kind = "broken"
	// KindTooLong: the result would be longer than the caller takes.
	KindTooLong Kind = "tooLong"
)

// Error is a failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error gives operation and kind on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Deflate compresses raw. It panics on a level that is not one of this package.
func Deflate(raw []byte, lv Level) []byte {
	var out bytes.Buffer
	wr, err := flate.NewWriter(&out, int(lv))
	if err == nil {
		_, err = wr.Write(raw)
	}
	if err == nil {
		err = wr.Close()
	}
	if err != nil {
		// Only the level can be wrong: a buffer takes every byte.
		panic(err)
	}
	return out.Bytes()
}

// Inflate undoes Deflate. More than most bytes are refused as KindTooLong, never
// cut short: a few kilobytes can grow to fill the memory, and a value that lost
// its end might still be read as a shorter one.
func Inflate(packed []byte, most int) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(most)+1))
	if err != nil {
		return nil, &Error{Op: "press.Inflate", Kind: KindBroken, Err: err}
	}
	if len(raw) > most {
		return nil, &Error{Op: "press.Inflate", Kind: KindTooLong, Err: errors.Errorf("more than %d bytes", most)}
	}
	return raw, nil
}
