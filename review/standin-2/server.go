package main

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// upstream is one server process. It writes a line to its standard output for each request that it runs.
type upstream struct {
	id, service  string
	slots, queue int
	work         time.Duration

	mu      sync.Mutex
	present int
	running chan struct{}
	out     sync.Mutex
}

// runServer serves until the process is killed. Its listener is passed as file 3.
func runServer(args []string) error {
	fs := flag.NewFlagSet("server", flag.ContinueOnError)
	up := &upstream{}
	fs.StringVar(&up.id, "id", "", "")
	fs.StringVar(&up.service, "service", "", "")
	fs.IntVar(&up.slots, "slots", 2, "")
	fs.IntVar(&up.queue, "queue", 12, "")
	fs.DurationVar(&up.work, "work", 8*time.Millisecond, "")
	if err := fs.Parse(args); err != nil {
		return err
	}
	up.running = make(chan struct{}, up.slots)
	ln, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Laburnumvane-Instance-Id", up.id)
	})
	mux.HandleFunc("/", up.serve)
	return http.Serve(ln, mux)
}

func (up *upstream) say(format string, args ...any) {
	up.out.Lock()
	defer up.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (up *upstream) enter() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.present >= up.slots+up.queue {
		return false
	}
	up.present++
	return true
}

func (up *upstream) leave() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.present--
}

func (up *upstream) serve(wr http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("Laburnumvane-Request-Id")
	wr.Header().Set("Laburnumvane-Request-Id", id)
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	if target := rq.Header.Get("Laburnumvane-Target-Instance"); target != "" && target != up.id {
		wr.Header().Set("Laburnumvane-Instance-Id", up.id)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !up.enter() {
		wr.Header().Set("Laburnumvane-Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer up.leave()
	up.running <- struct{}{}
	defer func() { <-up.running }()
	up.say("ran %s %s %d", id, up.id, time.Now().UnixMilli())
	time.Sleep(up.work)
	wr.Header().Set("Laburnumvane-Response-Signature", up.service+"."+up.id+"."+id)
	_, _ = wr.Write(records(up.service))
}

// records returns some records that differ from those of other services.
func records(service string) []byte {
	var out []byte
	for i := range 8 {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", service, i))
		out = append(out, sum[:16]...)
	}
	return out
}
