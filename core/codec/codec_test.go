package codec_test

import (
	"bytes"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/core/codec"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	raw := bytes.Repeat([]byte("route "), 1_000)
	for _, lv := range []codec.Level{codec.Fast, codec.Small} {
		packed := codec.Deflate(raw, lv)
		is.True(len(packed) < len(raw)/10)
		got, err := codec.Inflate(packed, len(raw))
		is.NoErr(err)
		is.Equal(got, raw)
	}
}

// Guards against truncation of a value that another VM sent compressed: if it exceeds the limit
// it must be rejected as a whole, because its beginning might parse as a shorter value.
func TestInflateRejects(t *testing.T) {
	whole := codec.Deflate(bytes.Repeat([]byte(" "), 100), codec.Fast)
	tests := []struct {
		name   string
		packed []byte
		most   int
		kind   codec.Kind
	}{
		{"one byte too long", whole, 99, codec.KindTooLong},
		{"truncated", whole[:len(whole)-2], 100, codec.KindBroken},
		{"not a deflate stream", []byte("plain"), 100, codec.KindBroken},
		{"empty", nil, 100, codec.KindBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := codec.Inflate(tt.packed, tt.most)
			var pe *codec.Error
			is.True(errors.As(err, &pe))
			is.Equal(pe.Kind, tt.kind)
		})
	}
}
