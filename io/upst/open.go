package upst

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/warm"
)

// open begins the opening of a connection; the pool is locked.
func (po *pool) open() {
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
		po.track.Vouch(began)
		if po.shut || po.gate.Excess() > 0 {
			po.drop(cn)
			return
		}
		po.offer(cn)
		po.feed()
	}()
}

// dial opens a connection and proves it: a server that has too many accepts one
// and closes it at once, which must not cost a request.
func (po *pool) dial() (*conn, error) {
	at := time.Now().Add(po.cfg.DialTimeout)
	dr := net.Dialer{Deadline: at}
	nc, err := dr.DialContext(context.Background(), "tcp", po.cfg.Addr)
	if err != nil {
		return nil, po.fail("upst.dial", KindDial, err)
	}
	cn := &conn{link: newLink(nc), addr: po.cfg.Addr}
	end, err := cn.exchange(at, pingMessage(), nil)
	if end != endUsable {
		cn.link.close()
		return nil, po.fail("upst.dial", refusalKind(err), err)
	}
	cn.proved = po.cfg.Clock()
	cn.used = cn.proved
	return cn, nil
}

func refusalKind(err error) Kind {
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
