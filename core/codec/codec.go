// Package codec compresses the data that VMs send each other and the values kept in the store:
// configurations are repetitive, link rates are low, and values are limited in size.
//
// # Usage
//
//	packed := codec.Deflate(raw, codec.Fast)
//	raw, err := codec.Inflate(packed, maxBytes)
package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// Level is the trade-off between speed and the size of the result.
type Level int

const (
	// Fast is for data that is sent once.
	Fast Level = flate.BestSpeed
	// Small is for data that is stored and read often.
	Small Level = flate.BestCompression
)

// Kind is the reason why compressed data was rejected.
type Kind string

// Kinds of errors.
const (
	// KindBroken means that the data is not a complete deflate stream.
	KindBroken Kind = "broken"
	// KindTooLong means that the result would be longer than the caller's limit.
	KindTooLong Kind = "tooLong"
)

// Error describes a failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns operation, kind and cause on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Deflate compresses raw. It panics if lv is not a level of this package.
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
		// Only the level can be invalid: writing to a buffer never fails.
		panic(err)
	}
	return out.Bytes()
}

// Inflate decompresses the result of Deflate. A result of more than most bytes is rejected with
// KindTooLong and never truncated: a few kilobytes can grow to fill the memory, and a truncated
// value might still parse as a shorter one.
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
