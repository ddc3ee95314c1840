package upst

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/warm"
)

// startOpening opens a connection in the background. The caller holds the lock.
func (po *pool) startOpening() {
	po.gate.Begin()
	go func() {
		began := po.cfg.Clock()
		cn, err := po.dial()
		po.mu.Lock()
		defer po.mu.Unlock()
		if err != nil {
			po.openFailed(err)
			return
		}
		po.stats.count(evOpened)
		po.gate.Opened()
		po.tracker.Overtake(began)
		if po.closed || po.gate.Excess() > 0 {
			po.closeConn(cn)
			return
		}
		po.assign(cn)
		po.openForWaiters()
	}()
}

// dial opens a connection and pings on it: a server with too many connections accepts a further
// one and closes it at once, and no request must be lost on it.
func (po *pool) dial() (*conn, error) {
	at := time.Now().Add(po.cfg.DialTimeout)
	dr := net.Dialer{Deadline: at}
	nc, err := dr.DialContext(context.Background(), "tcp", po.cfg.Addr)
	if err != nil {
		return nil, po.fail("upst.dial", KindDial, err)
	}
	cn := &conn{tcp: newBufConn(nc), addr: po.cfg.Addr}
	cs, err := cn.exchange(at, pingMessage(), nil)
	if cs != connUsable {
		cn.tcp.close()
		return nil, po.fail("upst.dial", dialErrorKind(err), err)
	}
	cn.answeredAt = po.cfg.Clock()
	cn.usedAt = cn.answeredAt
	return cn, nil
}

func dialErrorKind(err error) Kind {
	var ue *Error
	if errors.As(err, &ue) && (ue.Kind == KindReset || ue.Kind == KindWrite) {
		return KindRefused
	}
	return KindDial
}

func (po *pool) openFailed(err error) {
	var ue *Error
	kind := KindDial
	if errors.As(err, &ue) {
		kind = ue.Kind
	}
	fa := warm.FaultDial
	if kind == KindRefused {
		fa = warm.FaultRefused
		po.stats.count(evRefused)
	} else {
		po.stats.count(evDialFailed)
	}
	po.gate.Failed(po.cfg.Clock(), fa)
	if po.gate.Open() == 0 && po.gate.Opening() == 0 {
		po.failWaiters(kind, err)
	}
}
