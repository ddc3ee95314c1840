package server_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/server"
)

func ExampleTable() {
	tb := server.New(server.Config{Rand: rand.New(rand.NewPCG(1, 1))})
	tb.Add(0, "10.0.0.7:9000")
	tb.Step(0, 0, server.Event{Kind: server.Reply, Incarnation: 7, Reported: server.ReportedServing, Good: 1})
	fmt.Println(tb.Status(0).State)
	for _, ac := range tb.Step(time.Second, 0, server.Event{Kind: server.Reply, Incarnation: 7, Reported: server.ReportedDraining}) {
		if ac.Kind == server.SendSign {
			fmt.Println("send to other VMs:", ac.Sign.Addr, ac.Sign.Kind)
		}
	}
	tb.Step(2*time.Second, 0, server.Event{Kind: server.Hint, Incarnation: 7, Reported: server.ReportedServing})
	fmt.Println(tb.Status(0).State, "-", tb.Status(0).Why)
	tb.Step(9*time.Second, 0, server.Event{Kind: server.Reply, Incarnation: 8, Reported: server.ReportedServing, Good: 1})
	fmt.Println(tb.Status(0).State, tb.Status(0).Weight)
	// Output:
	// serving
	// send to other VMs: 10.0.0.7:9000 leaving
	// draining - a reply says that it leaves
	// cold 0.125
}
