package sched_test

import (
	"fmt"
	"time"

	"laburnumvane/core/sched"
)

func Example() {
	var qu sched.Queue[string]
	qu.Push(3*time.Second, "ping the idle connection")
	qu.Push(time.Second, "ask the load endpoint")
	for what, ok := qu.Pop(2 * time.Second); ok; what, ok = qu.Pop(2 * time.Second) {
		fmt.Println(what)
	}
	at, _ := qu.Next()
	fmt.Println("next at", at)
	// Output:
	// ask the load endpoint
	// next at 3s
}
