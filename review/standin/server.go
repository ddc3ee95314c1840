package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform's protocol.
const (
	headerID       = "Laburnumvane-Request-Id"
	headerDeadline = "Laburnumvane-Deadline-Ms"
	headerReceipt  = "Laburnumvane-Response-Signature"
	headerTarget   = "Laburnumvane-Target-Instance"
	headerNotRun   = "Laburnumvane-Not-Executed"
	headerInstance = "Laburnumvane-Instance-Id"
	headerWarmUp   = "Laburnumvane-Warmup-Ms"
)

// Kinds of events.
const (
	eventStarted     = "started"
	eventArrived     = "arrived"
	eventMisdirected = "misdirected"
	eventRejected    = "rejected"
	eventRun         = "run"
	eventAnswered    = "answered"
)

// Event is a line that a server writes to its standard output.
type Event struct {
	// At is in nanoseconds since 1970.
	At     int64  `json:"at"`
	Kind   string `json:"kind"`
	Server string `json:"server"`
	ID     string `json:"id,omitempty"`
	// Left is the deadline that the server was given.
	Left string `json:"left,omitempty"`
}

// server is a stand-in of one process of an upstream server.
type server struct {
	id, service string
	slots       chan struct{}
	queue       int
	work        time.Duration
	maxConns    int
	warmUntil   time.Time

	out     sync.Mutex
	conns   atomic.Int64
	waiting atomic.Int64
}

func serverMain(args []string) {
	fs := flag.NewFlagSet("server", flag.ExitOnError)
	addr := fs.String("addr", "", "listen on `ADDR`")
	id := fs.String("id", "", "id of the process")
	service := fs.String("service", "", "service")
	slots := fs.Int("slots", 4, "concurrency")
	queue := fs.Int("queue", 24, "requests that wait for a slot")
	work := fs.Duration("work", 7*time.Millisecond, "mean duration of a request")
	conns := fs.Int("conns", 66, "connections accepted")
	warm := fs.Duration("warm", 0, "duration of the warm-up")
	_ = fs.Parse(args)
	sv := &server{
		id: *id, service: *service, slots: make(chan struct{}, *slots), queue: *queue, work: *work, maxConns: *conns,
		warmUntil: time.Now().Add(*warm),
	}
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notShown)
	}
	sv.emit(Event{Kind: eventStarted})
	go func() {
		// The server ends with the program that started it.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(held)
	}()
	for {
		nc, err := ln.Accept()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(notShown)
		}
		if sv.conns.Load() >= int64(sv.maxConns) {
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
			continue
		}
		sv.conns.Add(1)
		go sv.serve(nc)
	}
}

func (sv *server) emit(ev Event) {
	ev.At, ev.Server = time.Now().UnixNano(), sv.id
	text, _ := json.Marshal(ev)
	sv.out.Lock()
	defer sv.out.Unlock()
	_, _ = os.Stdout.Write(append(text, '\n'))
}

func (sv *server) serve(nc net.Conn) {
	defer func() {
		_ = nc.Close()
		sv.conns.Add(-1)
	}()
	br := bufio.NewReader(nc)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		if !sv.answer(nc, rq) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection can be used further.
func (sv *server) answer(nc net.Conn, rq *http.Request) bool {
	if rq.URL.Path == "/health" {
		head := headerInstance + ": " + sv.id + "\r\n"
		if left := time.Until(sv.warmUntil); left > 0 {
			head += headerWarmUp + ": " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n"
		}
		return write(nc, http.StatusOK, head, nil)
	}
	id := rq.Header.Get(headerID)
	head := headerID + ": " + id + "\r\n"
	if target := rq.Header.Get(headerTarget); target != "" && target != sv.id {
		sv.emit(Event{Kind: eventMisdirected, ID: id})
		return write(nc, http.StatusMisdirectedRequest, head+headerInstance+": "+sv.id+"\r\n"+headerNotRun+": 1\r\n", nil)
	}
	sv.emit(Event{Kind: eventArrived, ID: id, Left: rq.Header.Get(headerDeadline)})
	if sv.waiting.Add(1) > int64(sv.queue+cap(sv.slots)) {
		sv.waiting.Add(-1)
		sv.emit(Event{Kind: eventRejected, ID: id})
		return write(nc, http.StatusServiceUnavailable, head+headerNotRun+": 1\r\n", nil)
	}
	defer sv.waiting.Add(-1)
	sv.slots <- struct{}{}
	sv.emit(Event{Kind: eventRun, ID: id})
	time.Sleep(time.Duration(float64(sv.work) * (0.6 + 0.8*rand.Float64())))
	<-sv.slots
	record := []byte(sv.service + "----------------")[:16]
	ok := write(nc, http.StatusOK, head+headerReceipt+": "+sv.id+"."+id+"\r\nKeep-Alive: timeout=20\r\n", bytes.Repeat(record, 4))
	sv.emit(Event{Kind: eventAnswered, ID: id})
	return ok
}

func write(nc net.Conn, status int, head string, body []byte) bool {
	_, err := fmt.Fprintf(nc, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	return err == nil
}
