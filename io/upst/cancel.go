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

// maxQueuedCancels limits the cancellations that wait for a connection. Further ones are not
// sent, and their sub-requests end at their deadlines.
const maxQueuedCancels = 64

// cancelQueue holds the ids of sub-requests to cancel once a connection is free. In the queue of
// requests a cancellation would wait behind the requests that it is meant to relieve, and a new
// connection would cost the server more than the cancelled work.
type cancelQueue struct {
	mu  sync.Mutex
	ids []string
	n   atomic.Int32
}

func (ca *cancelQueue) add(id string) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if len(ca.ids) >= maxQueuedCancels {
		return false
	}
	ca.ids = append(ca.ids, id)
	ca.n.Store(int32(len(ca.ids)))
	return true
}

func (ca *cancelQueue) next() (string, bool) {
	if ca.n.Load() == 0 {
		return "", false
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if len(ca.ids) == 0 {
		return "", false
	}
	// The newest first: it has the most time left, so cancelling it saves the most work.
	last := len(ca.ids) - 1
	id := ca.ids[last]
	ca.ids = ca.ids[:last]
	ca.n.Store(int32(last))
	return id, true
}

// remove removes the cancellation of a sub-request that has ended.
func (ca *cancelQueue) remove(id string) {
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
	if po.closed {
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

// sendCancel sends a cancellation on a connection that has no user.
func (po *pool) sendCancel(cn *conn, id string) {
	po.markUsed(cn)
	po.stats.count(evCancelSent)
	go func() {
		body, err := json.Marshal(wire.CancelRequest{ID: id})
		if err != nil {
			// A struct with one string can always be encoded.
			panic(err)
		}
		po.beginExchange(cn, cancelTimeout)
		at := time.Now().Add(cancelTimeout)
		cs, _ := cn.exchange(at, message{consts.MethodPost, wire.RouteShardCancel, body}, nil)
		po.endExchange(cn, cs)
	}()
}
