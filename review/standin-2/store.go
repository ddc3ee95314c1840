package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is an item of the store, or the event of its removal.
type record struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's store. It answers every call; only watches that wait can be cut.
type store struct {
	mu       sync.Mutex
	items    map[string]record
	history  []record
	revision uint64
	leases   map[uint64]*lease
	// lastLease is the id of the newest lease.
	lastLease uint64
	// changed is closed at the next change, and cuts when waiting watches are cut.
	changed, cuts chan struct{}
	addr          string
	// page is the most items of a page. If latency is set, a call takes 1 ms and up to
	// twice latency more.
	page    int
	latency time.Duration
}

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	st := &store{items: map[string]record{}, leases: map[uint64]*lease{}, revision: 1, changed: make(chan struct{}), cuts: make(chan struct{}), addr: ln.Addr().String(), page: 500}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /laburnumvane/kv-key", st.serveKey)
	mux.HandleFunc("GET /laburnumvane/kv-range", st.serveRange)
	mux.HandleFunc("GET /laburnumvane/kv-watch", st.serveWatch)
	mux.HandleFunc("POST /laburnumvane/kv-txn", st.serveTxn)
	mux.HandleFunc("POST /laburnumvane/kv-lease", st.serveLease)
	mux.HandleFunc("POST /laburnumvane/kv-keep/{id}", st.serveKeep)
	mux.HandleFunc("DELETE /laburnumvane/kv-lease-end/{id}", st.serveLeaseEnd)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			if st.latency > 0 {
				time.Sleep(time.Millisecond + rand.N(2*st.latency))
			}
			mux.ServeHTTP(wr, rq)
		}))
	}()
	go st.expireLeases()
	return st, nil
}

func (st *store) put(key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.putLocked(key, value, 0)
}

func (st *store) remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.removeLocked(key)
}

func (st *store) putLocked(key string, value []byte, leaseID uint64) {
	st.revision++
	re := record{Key: key, Value: value, Revision: st.revision, Created: st.revision, Lease: leaseID}
	if old, ok := st.items[key]; ok {
		re.Created = old.Created
	}
	st.items[key] = re
	st.history = append(st.history, re)
	st.wake()
}

func (st *store) removeLocked(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	st.revision++
	delete(st.items, key)
	st.history = append(st.history, record{Key: key, Revision: st.revision, Removed: true})
	st.wake()
}

func (st *store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// cutWatches closes the connections of all watches that wait, without an answer.
func (st *store) cutWatches() {
	st.mu.Lock()
	defer st.mu.Unlock()
	close(st.cuts)
	st.cuts = make(chan struct{})
}

func (st *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		st.mu.Lock()
		for id, le := range st.leases {
			if time.Now().After(le.expires) {
				st.endLease(id)
			}
		}
		st.mu.Unlock()
	}
}

func (st *store) endLease(id uint64) {
	delete(st.leases, id)
	for key, re := range st.items {
		if re.Lease == id {
			st.removeLocked(key)
		}
	}
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(value)
}

func (st *store) serveKey(wr http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	re, ok := st.items[rq.URL.Query().Get("key")]
	if !ok {
		writeJSON(wr, http.StatusNotFound, map[string]any{"as_of": st.revision})
		return
	}
	writeJSON(wr, http.StatusOK, map[string]any{
		"key": re.Key, "value": re.Value, "revision": re.Revision, "created": re.Created, "lease": re.Lease, "as_of": st.revision,
	})
}

func (st *store) serveRange(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	st.mu.Lock()
	defer st.mu.Unlock()
	found := []record{}
	for key, re := range st.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			found = append(found, re)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated := len(found) > st.page
	writeJSON(wr, http.StatusOK, map[string]any{"items": found[:min(len(found), st.page)], "truncated": truncated, "as_of": st.revision})
}

func (st *store) serveWatch(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		events := []record{}
		for _, re := range st.history {
			if re.Revision > after && strings.HasPrefix(re.Key, query.Get("path_prefix")) {
				events = append(events, re)
			}
		}
		asOf, changed, cuts := st.revision, st.changed, st.cuts
		st.mu.Unlock()
		if len(events) > 0 {
			writeJSON(wr, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-cuts:
			panic(http.ErrAbortHandler)
		case <-until:
			writeJSON(wr, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *store) serveTxn(wr http.ResponseWriter, rq *http.Request) {
	var tx struct {
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
	if err := json.NewDecoder(rq.Body).Decode(&tx); err != nil {
		writeJSON(wr, http.StatusBadRequest, map[string]any{})
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, pc := range tx.Precondition {
		if st.items[pc.Key].Revision != pc.Revision {
			writeJSON(wr, http.StatusPreconditionFailed, map[string]any{"items": []record{st.items[pc.Key]}})
			return
		}
	}
	for _, pu := range tx.Puts {
		if _, ok := st.leases[pu.Lease]; pu.Lease != 0 && !ok {
			writeJSON(wr, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, pu := range tx.Puts {
		st.putLocked(pu.Key, pu.Value, pu.Lease)
	}
	for _, key := range tx.Deletes {
		st.removeLocked(key)
	}
	writeJSON(wr, http.StatusOK, map[string]any{"revision": st.revision})
}

func (st *store) serveLease(wr http.ResponseWriter, rq *http.Request) {
	var body struct {
		TTLMs int `json:"ttl_ms"`
	}
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		writeJSON(wr, http.StatusBadRequest, map[string]any{})
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastLease++
	id := st.lastLease
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	st.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(wr, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTLMs})
}

func (st *store) serveKeep(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	le, ok := st.leases[id]
	if !ok {
		writeJSON(wr, http.StatusNotFound, map[string]any{})
		return
	}
	le.expires = time.Now().Add(le.ttl)
	writeJSON(wr, http.StatusOK, map[string]any{"ttl_ms": le.ttl.Milliseconds()})
}

func (st *store) serveLeaseEnd(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.endLease(id)
	writeJSON(wr, http.StatusOK, map[string]any{})
}
