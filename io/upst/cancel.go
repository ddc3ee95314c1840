package upst

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/wire"
)

// cancelRoom bounds the cancellations that wait for a connection; beyond it a
// sub-request is left to its deadline.
const cancelRoom = 64

// cancels are the sub-requests to be given up once a connection is free. To
// wait for one in the queue of requests would put a cancellation behind the
// very requests that it is about, and to open one costs the server more than
// the work that is given up.
type cancels struct {
	mu  sync.Mutex
	ids []string
	n   atomic.Int32
}

func (ca *cancels) add(id string) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if len(ca.ids) >= cancelRoom {
		return false
	}
	ca.ids = append(ca.ids, id)
	ca.n.Store(int32(len(ca.ids)))
	return true
}

func (ca *cancels) next() (string, bool) {
	if ca.n.Load() == 0 {
		return "", false
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if len(ca.ids) == 0 {
		return "", false
	}
	// The newest first: it has the most time left, and so the most to save.
	last := len(ca.ids) - 1
	id := ca.ids[last]
	ca.ids = ca.ids[:last]
	ca.n.Store(int32(last))
	return id, true
}

// forget drops the cancellation of a sub-request that has ended.
func (ca *cancels) forget(id string) {
	if ca.n.Load() == 0 {
		return
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.ids = slices.DeleteFunc(ca.ids, func(other string) bool { return other == id })
	ca.n.Store(int32(len(ca.ids)))
}

func (po *pool) cancel(id string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.shut {
		return
	}
	if cn, ok := po.popIdle(); ok {
		po.sendCancel(cn, id)
		return
	}
	if !po.cancels.add(id) {
		po.stats.count(evCancelLeft)
	}
}

// sendCancel sends a cancellation on a connection in nobody's hands.
func (po *pool) sendCancel(cn *conn, id string) {
	po.use(cn)
	po.stats.count(evCancelSent)
	go func() {
		body, err := json.Marshal(wire.CancelRequest{ID: id})
		if err != nil {
			// A struct of one string always encodes.
			panic(err)
		}
		po.begin(cn, cancelTimeout)
		at := time.Now().Add(cancelTimeout)
		end, _ := cn.exchange(at, message{consts.MethodPost, wire.RouteShardCancel, body}, nil)
		po.end(cn, end)
	}()
}
