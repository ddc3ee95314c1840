package main

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// linkMode is how a link treats the bytes that pass.
type linkMode int

const (
	linkPass linkMode = iota
	// linkSlow delays each chunk by linkDelay.
	linkSlow
	// linkSilent accepts bytes and drops them, without closing connections.
	linkSilent
	// linkOneWay forwards bytes to the target and drops those that come back.
	linkOneWay
)

// linkDelay is the delay that a slow link adds to each chunk.
const linkDelay = 30 * time.Millisecond

// link is a TCP proxy on loopback that can delay or drop bytes and reset connections.
type link struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	mode   linkMode
	conns  map[net.Conn]struct{}
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	li := &link{ln: ln, target: target, conns: map[net.Conn]struct{}{}}
	go li.accept()
	t.Cleanup(func() {
		_ = ln.Close()
		li.reset()
	})
	return li
}

func (li *link) addr() string { return li.ln.Addr().String() }

func (li *link) set(mode linkMode) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.mode = mode
}

func (li *link) currentMode() linkMode {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.mode
}

// reset closes all connections with an RST.
func (li *link) reset() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for nc := range li.conns {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
	clear(li.conns)
}

func (li *link) accept() {
	for {
		near, err := li.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", li.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		li.mu.Lock()
		li.conns[near], li.conns[far] = struct{}{}, struct{}{}
		li.mu.Unlock()
		go li.copy(far, near, true)
		go li.copy(near, far, false)
	}
}

// copy forwards bytes until either end closes. outbound is set in the direction to the target.
func (li *link) copy(to, from net.Conn, outbound bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		li.mu.Lock()
		delete(li.conns, to)
		delete(li.conns, from)
		li.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !li.forward(to, buf[:n], outbound) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward treats one chunk as the link's mode demands; it returns false if the write fails.
func (li *link) forward(to io.Writer, chunk []byte, outbound bool) bool {
	switch mode := li.currentMode(); {
	case mode == linkSilent, mode == linkOneWay && !outbound:
		// A connection that lost a chunk is broken for good, even when the mode changes; only new
		// connections work then.
		return true
	case mode == linkSlow:
		time.Sleep(linkDelay)
	}
	_, err := to.Write(chunk)
	return err == nil
}
