package admit_test

import (
	"fmt"
	"time"

	"laburnumvane/core/admit"
)

func Example() {
	slots := 1
	hasCapacity := func(time.Duration, int) bool { return slots > 0 }
	mc := admit.New[string](admit.Config{HasCapacity: hasCapacity})
	rq := admit.Request{Class: admit.Urgent, Team: 0, Cost: 10, Deadline: 200 * time.Millisecond}

	de := mc.Offer(0, rq, "first")
	fmt.Println(de.Kind == admit.Admitted)
	slots--
	mc.ConfirmStart()

	de = mc.Offer(time.Millisecond, rq, "second")
	fmt.Println(de.Kind == admit.Queued, "until", de.StartBy)

	slots++
	mc.Done(30*time.Millisecond, admit.Urgent, 30*time.Millisecond, false)
	for _, gr := range mc.Step(30 * time.Millisecond) {
		fmt.Println(gr.Waiter, "starts:", gr.Start)
	}
	// Output:
	// true
	// true until 200ms
	// second starts: true
}
