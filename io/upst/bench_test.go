package upst_test

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"laburnumvane/io/upst"
)

// startCannedServer starts a server that answers every request with the same reply, without
// other work.
func startCannedServer(b *testing.B) string {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	const body = `{"id":"a","shard":0,"snapshot":1,"shards":1,"hits":[{"member":"m1","fields":{"plate":"AAA-000"}}],"load":{"incarnation":1,"state":"serving","inFlight":1,"queued":0}}`
	reply := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serveCanned(nc, reply)
		}
	}()
	return ln.Addr().String()
}

// serveCanned treats each read as one request: requests are small and come one at a time.
func serveCanned(nc net.Conn, reply []byte) {
	buf := make([]byte, 4096)
	for {
		if _, err := nc.Read(buf); err != nil {
			return
		}
		if _, err := nc.Write(reply); err != nil {
			return
		}
	}
}

// BenchmarkExchange measures one exchange over an open loopback connection, including encoding
// and decoding.
func BenchmarkExchange(b *testing.B) {
	sv := upst.New(upst.Config{Addr: startCannedServer(b), MaxConns: 4, DialTimeout: time.Second})
	defer sv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	rq := request("a")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := sv.Search(ctx, rq); err != nil {
			b.Fatal(err)
		}
	}
}
