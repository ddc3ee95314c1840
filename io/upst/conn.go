package upst

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/go-faster/errors"

	"laburnumvane/io/wire"
)

// maxHeadBytes limits the size of a reply's head, and of its trailer, and maxReplyBytes that of its
// body. maxTotalBytes limits the reply as it is encoded: a body in chunks may contain white space
// without end. A larger one is an error.
const (
	maxHeadBytes  = 64 << 10
	maxReplyBytes = 8 << 20
	maxTotalBytes = 4 * maxReplyBytes
)

// connState is the state of a connection after an exchange.
type connState uint8

const (
	// connUsable: the reply was read completely.
	connUsable connState = iota + 1
	// connOverdue: no byte of the reply came before the deadline. The reply may still come,
	// and the connection can be used again after it.
	connOverdue
	// connBroken: the connection must be closed.
	connBroken
)

// conn is one connection; it carries one exchange at a time.
type conn struct {
	tcp  *bufConn
	addr string
	// answeredAt is when the last reply came, on Config.Clock.
	answeredAt time.Duration
	// usedAt is when the connection was last taken for a request, on Config.Clock.
	usedAt time.Duration
	// silent is set before the connection is closed during an exchange.
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
func (cn *conn) exchange(at time.Time, ms message, out any) (connState, error) {
	if err := cn.tcp.setDeadline(at); err != nil {
		return connBroken, &Error{Op: "upst.write", Kind: KindWrite, Addr: cn.addr, Err: err}
	}
	if err := cn.write(ms); err != nil {
		return connBroken, err
	}
	if _, err := cn.tcp.Peek(1); err != nil {
		return cn.noReplyError(err)
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
	before := cn.tcp.written
	err := req.Write(rq, cn.tcp)
	if err == nil {
		err = cn.tcp.Flush()
	}
	if err == nil {
		return nil
	}
	// If the kernel accepted no byte, nothing has left this VM. Otherwise part of the
	// request may have, even if the server cannot use an incomplete one.
	return cn.fail("upst.write", KindWrite, cn.tcp.written > before, err)
}

// noReplyError returns the result of an exchange that ended before the first byte of its reply.
func (cn *conn) noReplyError(err error) (connState, error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && !cn.silent.Load() {
		return connOverdue, cn.fail("upst.read", KindTimeout, true, err)
	}
	return connBroken, cn.fail("upst.read", kindOf(err), true, err)
}

// read reads a reply whose first byte has arrived.
func (cn *conn) read(out any) (connState, error) {
	rs := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(rs)
	if err := cn.readResponse(rs); err != nil {
		return connBroken, cn.fail("upst.read", kindOf(err), true, err)
	}
	cs := connUsable
	if rs.ConnectionClose() {
		cs = connBroken
	}
	if rs.StatusCode() != consts.StatusOK {
		return cs, cn.fail("upst.read", KindStatus, true, errors.Errorf("status %d", rs.StatusCode()))
	}
	if out == nil {
		return cs, nil
	}
	// Decoding copies the data, so the buffer may be reused.
	if err := wire.Decode(rs.Body(), out); err != nil {
		return cs, cn.fail("upst.read", KindDecode, true, err)
	}
	return cs, nil
}

// readResponse reads a response within the limits. The library limits the body only, and reads the
// head and the trailer again from their beginning with each packet that arrives.
func (cn *conn) readResponse(rs *protocol.Response) error {
	defer cn.tcp.setLimits(0, 0)
	cn.tcp.setLimits(maxHeadBytes, maxTotalBytes)
	if err := resp.ReadHeaders(rs, cn.tcp); err != nil {
		return err
	}
	if rs.MustSkipBody() {
		return nil
	}
	cn.tcp.maxUnread = 0
	length := rs.Header.ContentLength()
	body, err := ext.ReadBody(cn.tcp, length, maxReplyBytes, rs.BodyBuffer().B[:0])
	if err != nil {
		return err
	}
	rs.BodyBuffer().B = body
	if length != chunkedLength {
		return nil
	}
	cn.tcp.maxUnread = maxHeadBytes
	// The last chunk has arrived, so that the body is complete even if the connection ends now.
	if err := ext.ReadTrailer(rs.Header.Trailer(), cn.tcp); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// chunkedLength is the length that the library gives for a body in chunks.
const chunkedLength = -1

// readLate waits for a reply after its deadline and discards it.
func (cn *conn) readLate(until time.Time) connState {
	if err := cn.tcp.setDeadline(until); err != nil {
		return connBroken
	}
	if _, err := cn.tcp.Peek(1); err != nil {
		return connBroken
	}
	cs, _ := cn.read(nil) // the caller has already got a timeout
	return cs
}

func (cn *conn) fail(op string, kind Kind, sent bool, err error) error {
	if cn.silent.Load() {
		kind = KindSilent
	}
	return &Error{Op: op, Kind: kind, Addr: cn.addr, Sent: sent, Err: err}
}

// closeSilent closes a silent connection, which ends the exchange that waits on it.
func (cn *conn) closeSilent() {
	cn.silent.Store(true)
	cn.tcp.close()
}

func kindOf(err error) Kind {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return KindTimeout
	}
	return KindReset
}
