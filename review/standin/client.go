package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Sent returns the attempts that have ended.
func (cl *client) Sent() []Sent {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]Sent(nil), cl.sent...)
}

// Sent is one client attempt and its answer.
type Sent struct {
	ID   string
	VM   string
	At   time.Time
	Took time.Duration
	// Status is 0 if there was no complete answer; Err says why.
	Status int
	Err    string
}

// client sends requests over kept connections, one at a time on each.
type client struct {
	addr, vm string
	mu       sync.Mutex
	idle     []*clientConn

	sent []Sent
	wg   sync.WaitGroup
}

type clientConn struct {
	nc net.Conn
	br *bufio.Reader
}

// request is a kind of request.
type request struct {
	method, host, path string
	deadline           time.Duration
}

// run sends requests at a rate until the end, each independently of the others.
func (cl *client) run(rq request, perSecond float64, end time.Time) {
	for time.Now().Before(end) {
		cl.wg.Add(1)
		go func() {
			defer cl.wg.Done()
			se := cl.do(rq)
			cl.mu.Lock()
			cl.sent = append(cl.sent, se)
			cl.mu.Unlock()
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

func (cl *client) take() (*clientConn, error) {
	cl.mu.Lock()
	if n := len(cl.idle); n > 0 {
		cc := cl.idle[n-1]
		cl.idle = cl.idle[:n-1]
		cl.mu.Unlock()
		return cc, nil
	}
	cl.mu.Unlock()
	nc, err := net.DialTimeout("tcp", cl.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc: nc, br: bufio.NewReader(nc)}, nil
}

// do sends one request, and closes its connection if there is no answer by the deadline.
func (cl *client) do(rq request) Sent {
	se := Sent{ID: fmt.Sprintf("%016x", rand.Uint64()), VM: cl.vm, At: time.Now()}
	cc, err := cl.take()
	if err != nil {
		se.Err = err.Error()
		return se
	}
	began := time.Now()
	_ = cc.nc.SetDeadline(began.Add(rq.deadline))
	head := rq.method + " " + rq.path + " HTTP/1.1\r\nHost: " + rq.host + "\r\n" + headerID + ": " + se.ID + "\r\n" +
		headerDeadline + ": " + strconv.FormatInt(rq.deadline.Milliseconds(), 10) + "\r\n"
	if _, err = io.WriteString(cc.nc, head+"\r\n"); err == nil {
		// The last byte has been sent.
		se.At = time.Now()
		err = cl.read(cc, rq, &se)
	}
	se.Took = time.Since(se.At)
	if err != nil {
		se.Err = err.Error()
		_ = cc.nc.Close()
	}
	return se
}

func (cl *client) read(cc *clientConn, rq request, se *Sent) error {
	rs, err := http.ReadResponse(cc.br, &http.Request{Method: rq.method})
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, rs.Body); err != nil {
		return err
	}
	se.Status = rs.StatusCode
	if rs.Close {
		_ = cc.nc.Close()
		return nil
	}
	cl.mu.Lock()
	cl.idle = append(cl.idle, cc)
	cl.mu.Unlock()
	return nil
}
