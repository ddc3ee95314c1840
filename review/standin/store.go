package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is an entry of the store, or the event of its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Modes of the store.
const (
	storeServes int32 = iota
	// storeBusy answers every call with 503.
	storeBusy
)

const (
	pageItems   = 500
	storeAnswer = 4 * time.Millisecond
)

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mode  atomic.Int32
	mu    sync.Mutex
	items map[string]item
	log   []item
	rev   uint64
	lease map[uint64]lease
	last  uint64
}

func newStore(addr string) (*store, error) {
	st := &store{items: map[string]item{}, lease: map[uint64]lease{}, rev: 100, last: 1000}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, st) }()
	go st.expire()
	return st, nil
}

func (st *store) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		st.mu.Lock()
		// Leases pause while the store is down.
		if st.mode.Load() != storeServes {
			for id, le := range st.lease {
				le.expires = le.expires.Add(20 * time.Millisecond)
				st.lease[id] = le
			}
		}
		for id, le := range st.lease {
			if time.Now().After(le.expires) {
				st.endLease(id)
			}
		}
		st.mu.Unlock()
	}
}

func (st *store) endLease(id uint64) {
	delete(st.lease, id)
	for key, it := range st.items {
		if it.Lease == id {
			st.remove(key)
		}
	}
}

func (st *store) put(key string, value []byte, id uint64) {
	st.rev++
	it := item{Key: key, Value: value, Revision: st.rev, Created: st.rev, Lease: id}
	if old, ok := st.items[key]; ok {
		it.Created = old.Created
	}
	st.items[key] = it
	st.log = append(st.log, it)
}

func (st *store) remove(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	delete(st.items, key)
	st.rev++
	st.log = append(st.log, item{Key: key, Revision: st.rev, Removed: true})
}

// Put writes an item as the operator or a server does. It reports false while the store is down.
func (st *store) Put(key string, value any) bool {
	if st.mode.Load() != storeServes {
		return false
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(key, text, 0)
	return true
}

// Remove removes an item as a server or the platform does.
func (st *store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.remove(key)
}

// Count returns the number of items with a prefix.
func (st *store) Count(prefix string) (n int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for key := range st.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if st.mode.Load() == storeBusy {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeAnswer)
	call, arg, _ := strings.Cut(strings.TrimPrefix(rq.URL.Path, "/laburnumvane/"), "/")
	switch call {
	case "kv-key":
		st.serveKey(wr, rq)
	case "kv-range":
		st.serveRange(wr, rq)
	case "kv-watch":
		st.serveWatch(wr, rq)
	case "kv-txn":
		st.serveTxn(wr, rq)
	case "kv-lease":
		st.serveLease(wr, rq)
	case "kv-keep", "kv-lease-end":
		st.serveKeep(wr, call, arg)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

func reply(wr http.ResponseWriter, body any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(body)
}

func (st *store) serveKey(wr http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[rq.URL.Query().Get("key")]
	if !ok {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	reply(wr, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "as_of": st.rev})
}

func (st *store) serveRange(wr http.ResponseWriter, rq *http.Request) {
	prefix, after := rq.URL.Query().Get("path_prefix"), rq.URL.Query().Get("after")
	st.mu.Lock()
	defer st.mu.Unlock()
	var keys []string
	for key := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > pageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, st.items[key])
	}
	reply(wr, map[string]any{"items": items, "truncated": truncated, "as_of": st.rev})
}

func (st *store) serveWatch(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		if st.mode.Load() != storeServes {
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		st.mu.Lock()
		events, asOf := []item{}, st.rev
		for _, it := range st.log {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		st.mu.Unlock()
		if len(events) > 0 || time.Now().After(until) {
			reply(wr, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-rq.Context().Done():
			return
		case <-time.After(3 * time.Millisecond):
		}
	}
}

func (st *store) serveTxn(wr http.ResponseWriter, rq *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(rq.Body).Decode(&body) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, pu := range body.Puts {
		if strings.HasPrefix(pu.Key, "op/") || strings.HasPrefix(pu.Key, "servers/") {
			wr.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := st.lease[pu.Lease]; pu.Lease != 0 && !ok {
			wr.WriteHeader(http.StatusNotFound)
			return
		}
	}
	items, failed := []item{}, false
	for _, co := range body.Precondition {
		it := st.items[co.Key]
		failed = failed || it.Revision != co.Revision
		items = append(items, it)
	}
	if failed {
		wr.WriteHeader(http.StatusPreconditionFailed)
		reply(wr, map[string]any{"items": items})
		return
	}
	for _, pu := range body.Puts {
		st.put(pu.Key, pu.Value, pu.Lease)
	}
	for _, key := range body.Deletes {
		st.remove(key)
	}
	reply(wr, map[string]any{"revision": st.rev})
}

func (st *store) serveLease(wr http.ResponseWriter, rq *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(rq.Body).Decode(&body) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.last++
	ttl := time.Duration(min(max(body.TTLMs, 1000), 600000)) * time.Millisecond
	st.lease[st.last] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(wr, map[string]any{"lease": st.last, "ttl_ms": ttl.Milliseconds()})
}

func (st *store) serveKeep(wr http.ResponseWriter, call, arg string) {
	id, _ := strconv.ParseUint(arg, 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	le, ok := st.lease[id]
	if !ok {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	if call == "kv-lease-end" {
		st.endLease(id)
	} else {
		le.expires = time.Now().Add(le.ttl)
		st.lease[id] = le
	}
	reply(wr, map[string]any{"ttl_ms": le.ttl.Milliseconds()})
}
