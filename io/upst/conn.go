package upst

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/go-faster/errors"

	"laburnumvane/io/wire"
)

// maxReplyBytes bounds a reply; a server that sends more is broken.
const maxReplyBytes = 8 << 20

// ending says what an exchange leaves of its connection.
type ending uint8

const (
	// endUsable: the reply was read whole.
	endUsable ending = iota + 1
	// endOverdue: not a byte of the reply came before the deadline. It may
	// still come, and the connection be used again after it.
	endOverdue
	// endBroken: the connection must be closed.
	endBroken
)

// conn is one connection; it carries one exchange at a time.
type conn struct {
	link *link
	addr string
	// proved is when the last reply came, on the server's clock.
	proved time.Duration
	// used is when a request last went out on it.
	used time.Duration
	// silent is set before the connection is closed under an exchange.
	silent atomic.Bool
}

// message is one request of an exchange.
type message struct {
	method string
	path   string
	body   []byte
}

func pingMessage() message {
	return message{method: consts.MethodGet, path: wire.RoutePing}
}

// exchange sends a message and decodes the reply into out before the deadline.
func (cn *conn) exchange(at time.Time, ms message, out any) (ending, error) {
	if err := cn.link.setDeadline(at); err != nil {
		return endBroken, &Error{Op: "upst.write", Kind: KindWrite, Addr: cn.addr, Err: err}
	}
	if err := cn.write(ms); err != nil {
		return endBroken, err
	}
	if _, err := cn.link.Peek(1); err != nil {
		return cn.noReply(err)
	}
	return cn.read(out)
}

func (cn *conn) write(ms message) error {
	rq := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(rq)
	rq.SetMethod(ms.method)
	rq.SetRequestURI(ms.path)
	rq.Header.SetHost(cn.addr)
	if ms.body != nil {
		rq.Header.Set(consts.HeaderContentType, consts.MIMEApplicationJSON)
		rq.SetBodyRaw(ms.body)
	}
	before := cn.link.written
	err := req.Write(rq, cn.link)
	if err == nil {
		err = cn.link.Flush()
	}
	if err == nil {
		return nil
	}
	// A write that the kernel took no byte of has not left this VM. One that
	// took some may have, even if the server cannot use half a request.
	return cn.fail("upst.write", KindWrite, cn.link.written > before, err)
}

// noReply judges an exchange that ended before the first byte of its reply.
func (cn *conn) noReply(err error) (ending, error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && !cn.silent.Load() {
		return endOverdue, cn.fail("upst.read", KindTimeout, true, err)
	}
	return endBroken, cn.fail("upst.read", kindOf(err), true, err)
}

// read takes a reply whose first byte is there.
func (cn *conn) read(out any) (ending, error) {
	rs := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(rs)
	if err := resp.ReadHeaderAndLimitBody(rs, cn.link, maxReplyBytes); err != nil {
		return endBroken, cn.fail("upst.read", kindOf(err), true, err)
	}
	end := endUsable
	if rs.ConnectionClose() {
		end = endBroken
	}
	if rs.StatusCode() != consts.StatusOK {
		return end, cn.fail("upst.read", KindStatus, true, errors.Errorf("status %d", rs.StatusCode()))
	}
	if out == nil {
		return end, nil
	}
	// Decoding copies what it keeps, so the buffer may be recycled.
	if err := wire.Decode(rs.Body(), out); err != nil {
		return end, cn.fail("upst.read", KindDecode, true, err)
	}
	return end, nil
}

// late waits for a reply after its deadline and drops it.
func (cn *conn) late(until time.Time) ending {
	if err := cn.link.setDeadline(until); err != nil {
		return endBroken
	}
	if _, err := cn.link.Peek(1); err != nil {
		return endBroken
	}
	end, _ := cn.read(nil) // what it says is of no use to anybody any more
	return end
}

func (cn *conn) fail(op string, kind Kind, sent bool, err error) error {
	if cn.silent.Load() {
		kind = KindSilent
	}
	return &Error{Op: op, Kind: kind, Addr: cn.addr, Sent: sent, Err: err}
}

// cut closes a connection under the exchange that waits on it.
func (cn *conn) cut() {
	cn.silent.Store(true)
	cn.link.close()
}

func kindOf(err error) Kind {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return KindTimeout
	}
	return KindReset
}
