package upst

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/go-faster/errors"
)

// maxReplyBytes bounds a reply; a server that sends more is broken.
const maxReplyBytes = 8 << 20

// conn is one connection; it carries one exchange at a time.
type conn struct {
	net  network.Conn
	addr string
	// idle is when the last exchange ended.
	idle time.Time
}

func dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	if at, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(at))
	}
	if timeout <= 0 {
		return nil, &Error{Op: "upst.dial", Kind: KindTimeout, Addr: addr, Err: context.DeadlineExceeded}
	}
	nc, err := standard.NewDialer().DialConnection("tcp", addr, timeout, nil)
	if err != nil {
		return nil, &Error{Op: "upst.dial", Kind: KindDial, Addr: addr, Err: err}
	}
	return &conn{net: nc, addr: addr, idle: time.Now()}, nil
}

// exchange sends body to path and decodes the reply into out. After an error
// the connection must be closed.
func (cn *conn) exchange(ctx context.Context, method, path string, body []byte, out any) error {
	rq := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(rq)
	rq.SetMethod(method)
	rq.SetRequestURI(path)
	rq.Header.SetHost(cn.addr)
	if body != nil {
		rq.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
		rq.SetBody(body)
	}
	if err := cn.write(ctx, rq); err != nil {
		return err
	}
	rs := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(rs)
	if err := resp.ReadHeaderAndLimitBody(rs, cn.net, maxReplyBytes); err != nil {
		return cn.fail("upst.read", kindOf(err), err)
	}
	if rs.StatusCode() != consts.StatusOK {
		return cn.fail("upst.read", KindStatus, errors.Errorf("status %d", rs.StatusCode()))
	}
	// Decoding copies what it keeps, so the buffer may be recycled.
	if err := json.Unmarshal(rs.Body(), out); err != nil {
		return cn.fail("upst.read", KindDecode, err)
	}
	if rs.ConnectionClose() {
		return errClose
	}
	cn.idle = time.Now()
	return nil
}

// errClose tells that the exchange went well but the server wants the
// connection closed.
var errClose = errors.New("connection closed by server after reply")

func (cn *conn) write(ctx context.Context, rq *protocol.Request) error {
	if at, ok := ctx.Deadline(); ok {
		if err := cn.net.SetDeadline(at); err != nil {
			return &Error{Op: "upst.write", Kind: KindWrite, Addr: cn.addr, Err: err}
		}
	}
	err := req.Write(rq, cn.net)
	if err == nil {
		err = cn.net.Flush()
	}
	if err != nil {
		return cn.fail("upst.write", KindWrite, err)
	}
	return nil
}

// fail makes the error of an exchange that had begun: bytes may be out.
func (cn *conn) fail(op string, kind Kind, err error) error {
	return &Error{Op: op, Kind: kind, Addr: cn.addr, Sent: true, Err: err}
}

func kindOf(err error) Kind {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return KindTimeout
	}
	return KindReset
}

func (cn *conn) close() {
	// The connection is given up; there is nothing to do about an error.
	_ = cn.net.Close()
}
