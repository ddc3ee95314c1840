package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// A client sends a byte now and then and never comes to an end. It must lose
// its connection after the time that a whole request may take, however often it
// sends; the same holds for one that sends nothing at all, and one that has had
// an answer before.
func TestSlowClients(t *testing.T) {
	be := start(t, 50*time.Millisecond)
	whole := fmt.Sprintf("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(good), good)
	cases := []struct {
		name, begin, drip string
		status            string
	}{
		{"nothing", "", "", ""},
		{"within the headers", "POST /v1/search HTTP/1.1\r\nHost: a\r\n", "X: y\r\n", "HTTP/1.1 408"},
		{"within the body", "POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n", " ", "HTTP/1.1 408"},
		{"idle after an answer", whole, "", "HTTP/1.1 200"},
		{"slow after an answer", whole + "POST /v1/search HTTP/1.1\r\n", "X: y\r\n", "HTTP/1.1 200"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			nc, err := net.Dial("tcp", be.addr)
			is.NoErr(err)
			defer nc.Close()
			is.NoErr(nc.SetDeadline(time.Now().Add(patience)))
			_, err = io.WriteString(nc, tc.begin)
			is.NoErr(err)
			stop := make(chan struct{})
			var dripping sync.WaitGroup
			dripping.Add(1)
			go func() {
				defer dripping.Done()
				drip(nc, tc.drip, stop)
			}()
			said, err := io.ReadAll(nc)
			close(stop)
			dripping.Wait()
			var ne net.Error
			is.True(!errors.As(err, &ne) || !ne.Timeout()) // the server never closed
			is.True(strings.HasPrefix(string(said), tc.status))
		})
	}
}

func drip(nc net.Conn, text string, stop <-chan struct{}) {
	if text == "" {
		return
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			if _, err := io.WriteString(nc, text); err != nil {
				return
			}
		}
	}
}

// The caller goes away, or closes its sending side, while its search runs. The
// search's context must end, so that its sub-requests are given up; a search
// that waits longer than a request may take to arrive is not cut off.
func TestClientGoesAway(t *testing.T) {
	cases := []struct {
		name  string
		leave func(nc *net.TCPConn) error
	}{
		{"closes", (*net.TCPConn).Close},
		{"closes its sending side", (*net.TCPConn).CloseWrite},
		{"resets", func(nc *net.TCPConn) error { return errorsOf(nc.SetLinger(0), nc.Close()) }},
	}
	be := start(t, patience)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			nc, err := net.Dial("tcp", be.addr)
			is.NoErr(err)
			defer nc.Close()
			_, err = io.WriteString(nc, post(wire.RouteSearch, "", `{"team":"wash","search":"wait","query":{}}`))
			is.NoErr(err)
			<-be.entered
			is.NoErr(tc.leave(nc.(*net.TCPConn)))
			is.Equal(<-be.ended, context.Canceled)
		})
	}
}

func errorsOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
