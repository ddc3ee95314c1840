package remote

import (
	"context"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/probe"
)

const testAddr = "10.0.0.1:9000"

// newSending returns a call to a VM that is asked whether it is ready.
func newSending(now *time.Duration) (*sending, *httptrace.ClientTrace) {
	cl := New(Config{Clock: func() time.Duration { return *now }, DataCentre: "east"})
	cl.watcher.close() // nothing is probed
	cl.peers.Want(*now, probe.VM{Addr: testAddr, DataCentre: "east"})
	se := &sending{cl: cl, addr: testAddr, cancel: func(error) {}, asks: true}
	tr := httptrace.ContextClientTrace(se.trace(context.Background()))
	tr.GetConn(testAddr)
	tr.GotConn(httptrace.GotConnInfo{})
	return se, tr
}

// The VM says that it is ready while the call ends, and net/http reads that afterwards. The request
// must not count as in flight, because nothing would ever end it: the VM would be probed for good.
func TestReadyAfterCallEnded(t *testing.T) {
	is := is.New(t)
	now := time.Second
	se, tr := newSending(&now)
	is.True(!se.end())
	tr.GotFirstResponseByte()
	_, due := se.cl.peers.Next()
	is.True(!due)
}

// A client disconnects while its VM is asked, and the timer has fired already. The VM must not be
// taken for frozen: it would get no requests until a probe.
func TestExpiryAfterCallEnded(t *testing.T) {
	is := is.New(t)
	now := time.Second
	se, _ := newSending(&now)
	is.True(!se.end())
	se.expire(now, 0)
	is.True(!se.cl.peers.Avoid(testAddr))
}

// The VM says that it is ready, and the call fails later: the request may have run.
func TestReadyBeforeCallEnded(t *testing.T) {
	is := is.New(t)
	now := time.Second
	se, tr := newSending(&now)
	tr.GotFirstResponseByte()
	is.True(se.end())
}
