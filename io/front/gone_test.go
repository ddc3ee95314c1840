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

// A client that sends a byte now and then and never completes its request must lose its connection
// after ReadTimeout, however often it sends. The same applies to a client that sends nothing, and
// to one that has had an answer before.
func TestSlowClients(t *testing.T) {
	fx := startFront(t, 50*time.Millisecond)
	complete := fmt.Sprintf("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(validSearch), validSearch)
	cases := []struct {
		name, first, repeated string
		status                string
	}{
		{"nothing", "", "", ""},
		{"within the headers", "POST /v1/search HTTP/1.1\r\nHost: a\r\n", "X: y\r\n", "HTTP/1.1 408"},
		{"within the body", "POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n", " ", "HTTP/1.1 408"},
		{"idle after an answer", complete, "", "HTTP/1.1 200"},
		{"slow after an answer", complete + "POST /v1/search HTTP/1.1\r\n", "X: y\r\n", "HTTP/1.1 200"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			nc, err := net.Dial("tcp", fx.addr)
			is.NoErr(err)
			defer nc.Close()
			is.NoErr(nc.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = io.WriteString(nc, tc.first)
			is.NoErr(err)
			stop := make(chan struct{})
			var sender sync.WaitGroup
			sender.Add(1)
			go func() {
				defer sender.Done()
				sendRepeatedly(nc, tc.repeated, stop)
			}()
			answer, err := io.ReadAll(nc)
			close(stop)
			sender.Wait()
			var ne net.Error
			is.True(!errors.As(err, &ne) || !ne.Timeout()) // the server must have closed the connection
			is.True(strings.HasPrefix(string(answer), tc.status))
		})
	}
}

func sendRepeatedly(nc net.Conn, text string, stop <-chan struct{}) {
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

// The caller disconnects, or closes its sending side, while its search runs. The search's context
// must be cancelled, so that its sub-requests are cancelled. A search that takes longer than
// ReadTimeout must not be aborted.
func TestClientGoesAway(t *testing.T) {
	cases := []struct {
		name       string
		disconnect func(nc *net.TCPConn) error
	}{
		{"closes", (*net.TCPConn).Close},
		{"closes its sending side", (*net.TCPConn).CloseWrite},
		{"resets", func(nc *net.TCPConn) error { return firstError(nc.SetLinger(0), nc.Close()) }},
	}
	fx := startFront(t, waitTimeout)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			nc, err := net.Dial("tcp", fx.addr)
			is.NoErr(err)
			defer nc.Close()
			_, err = io.WriteString(nc, post(wire.RouteSearch, "", `{"team":"wash","search":"wait","query":{}}`))
			is.NoErr(err)
			<-fx.entered
			is.NoErr(tc.disconnect(nc.(*net.TCPConn)))
			is.Equal(<-fx.ended, context.Canceled)
		})
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
