package remote

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Numbers of the fields waited_us in the messages.
const (
	carryWaitedField protowire.Number = 16
	joinWaitedField  protowire.Number = 8
)

// stamp says where in a message, and since when, the time that it waits is given.
type stamp struct {
	field  protowire.Number
	madeAt time.Duration
}

type stampKey struct{}

// withStamp returns a context whose message gets a field with the time since madeAt.
func withStamp(ctx context.Context, field protowire.Number, madeAt time.Duration) context.Context {
	return context.WithValue(ctx, stampKey{}, stamp{field: field, madeAt: madeAt})
}

// stamper appends to each message how long it has waited when its first byte is sent. A message has
// the time that its request has left, and may wait for a connection, or until the other VM says that
// it is ready. Fields may be appended to an encoded message.
type stamper struct {
	next  http.RoundTripper
	clock func() time.Duration
}

// RoundTrip implements http.RoundTripper.
func (st *stamper) RoundTrip(rq *http.Request) (*http.Response, error) {
	sp, ok := rq.Context().Value(stampKey{}).(stamp)
	if !ok || rq.GetBody == nil {
		return st.next.RoundTrip(rq)
	}
	stamped := rq.WithContext(rq.Context())
	stamped.ContentLength += int64(protowire.SizeTag(sp.field) + protowire.SizeFixed64())
	stamped.Body = &stampedBody{sp: sp, clock: st.clock, message: rq.Body}
	stamped.GetBody = func() (io.ReadCloser, error) {
		message, err := rq.GetBody()
		if err != nil {
			return nil, err
		}
		return &stampedBody{sp: sp, clock: st.clock, message: message}, nil
	}
	return st.next.RoundTrip(stamped)
}

// stampedBody is a message followed by its stamp.
type stampedBody struct {
	sp      stamp
	clock   func() time.Duration
	message io.ReadCloser
	// all is set by the first Read.
	all io.Reader
}

// Read implements io.Reader.
func (sb *stampedBody) Read(p []byte) (int, error) {
	if sb.all == nil {
		waited := max(0, sb.clock()-sb.sp.madeAt)
		field := protowire.AppendTag(nil, sb.sp.field, protowire.Fixed64Type)
		field = protowire.AppendFixed64(field, uint64(waited.Microseconds()))
		sb.all = io.MultiReader(sb.message, bytes.NewReader(field))
	}
	return sb.all.Read(p)
}

// Close implements io.Closer.
func (sb *stampedBody) Close() error { return sb.message.Close() }
