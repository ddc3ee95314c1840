package remote

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"laburnumvane/core/origin"
	"laburnumvane/io/inner"
)

// waitingTransport sends messages only after wait, as when a connection has to be opened first.
type waitingTransport struct {
	now     *time.Duration
	wait    time.Duration
	message []byte
	length  int64
}

func (wt *waitingTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	*wt.now += wt.wait
	wt.length = rq.ContentLength
	var err error
	if wt.message, err = io.ReadAll(rq.Body); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}

// A request for another VM waits until a connection is open and the VM is ready. If the time that
// it has left is not reduced by the wait, servers are told of more time than the client has left.
func TestWaitToBeSentIsTold(t *testing.T) {
	const wait = 300 * time.Millisecond
	vm := &origin.Upstream{ID: "vm", Addr: testAddr, DataCentre: "east"}
	carry := func(cl *Client) {
		_, _, _ = cl.Carry(context.Background(), []*origin.Upstream{vm}, 0, 0, &inner.CarryRequest{Id: "a", LeftUs: 5})
	}
	join := func(cl *Client) {
		_, _, _ = cl.Join(context.Background(), []*origin.Upstream{vm}, 0, &inner.JoinRequest{Limit: 7})
	}
	for _, tc := range []struct {
		name string
		call func(cl *Client)
		want proto.Message
	}{
		{"carry", carry, &inner.CarryRequest{Id: "a", LeftUs: 5, WaitedUs: uint64(wait.Microseconds())}},
		{"join", join, &inner.JoinRequest{Limit: 7, WaitedUs: uint64(wait.Microseconds())}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Second
			cl := New(Config{Clock: func() time.Duration { return now }, DataCentre: "east"})
			cl.watcher.close() // nothing is probed
			wt := &waitingTransport{now: &now, wait: wait}
			cl.transport = func(http.RoundTripper) http.RoundTripper { return wt }
			tc.call(cl)
			is.Equal(int64(len(wt.message)), wt.length)
			got := tc.want.ProtoReflect().New().Interface()
			is.NoErr(proto.Unmarshal(wt.message, got))
			is.True(proto.Equal(got, tc.want))
		})
	}
}
