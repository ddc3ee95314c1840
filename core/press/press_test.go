package press_test

import (
	"bytes"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/core/press"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	raw := bytes.Repeat([]byte("route "), 1_000)
	for _, lv := range []press.Level{press.Fast, press.Small} {
		packed := press.Deflate(raw, lv)
		is.True(len(packed) < len(raw)/10)
		got, err := press.Inflate(packed, len(raw))
		is.NoErr(err)
		is.Equal(got, raw)
	}
}

// Guards against truncation of a value that another VM sent compressed: if it exceeds the limit
// it must be rejected as a whole, because its beginning might parse as a shorter value.
func TestInflateRejects(t *testing.T) {
	whole := press.Deflate(bytes.Repeat([]byte(" "), 100), press.Fast)
	tests := []struct {
		name   string
		packed []byte
		most   int
		kind   press.Kind
	}{
		{"one byte too long", whole, 99, press.KindTooLong},
		{"truncated", whole[:len(whole)-2], 100, press.KindBroken},
		{"not a deflate stream", []byte("plain"), 100, press.KindBroken},
		{"empty", nil, 100, press.KindBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := press.Inflate(tt.packed, tt.most)
			var pe *press.Error
			is.True(errors.As(err, &pe))
			is.Equal(pe.Kind, tt.kind)
		})
	}
}
