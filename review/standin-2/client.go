package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// attempt is one client attempt and what the client saw of it.
type attempt struct {
	id     string
	vm     *vmProc
	sent   time.Time
	took   time.Duration
	status int
	err    error
}

// client sends requests to VMs, each on a new connection or on a kept one.
type client struct {
	fl   *fleet
	http *http.Client
}

func newClient(fl *fleet, keep bool) *client {
	tr := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: !keep, MaxIdleConnsPerHost: 64,
		DisableCompression: true,
	}
	return &client{fl: fl, http: &http.Client{Transport: tr}}
}

// send sends one attempt and waits until the client's deadline.
func (cl *client) send(vm *vmProc, method, path string, body []byte, deadline time.Duration) attempt {
	at := attempt{id: fmt.Sprintf("%016x", rand.Uint64()), vm: vm, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+vm.client+path, bytes.NewReader(body))
	if err != nil {
		at.err = err
		return at
	}
	rq.Host = "leno12.example"
	// Without it the library would send a request again on its own.
	rq.GetBody = nil
	rq.Header.Set("Laburnumvane-Request-Id", at.id)
	rq.Header.Set("Laburnumvane-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	cl.fl.noteSent(at.id, vm)
	cl.fl.note("client: sent %s %s %s to %s, %d bytes", at.id, method, path, vm.name, len(body))
	rs, err := cl.http.Do(rq)
	if err == nil {
		at.status = rs.StatusCode
		_, err = io.Copy(io.Discard, rs.Body)
		_ = rs.Body.Close()
	}
	at.took, at.err = time.Since(at.sent), err
	if err != nil {
		cl.fl.note("client: no answer to %s after %d ms: %v", at.id, at.took.Milliseconds(), err)
	} else {
		cl.fl.note("client: answer to %s after %d ms: %d", at.id, at.took.Milliseconds(), at.status)
	}
	return at
}
