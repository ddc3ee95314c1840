package ticket_test

import (
	"fmt"
	"time"

	"laburnumvane/core/ticket"
)

// A client obtains a ticket in advance, sends its request, loses the reply, and retries with the
// same ticket: it gets the answer of the first run.
func ExampleTable() {
	tb := ticket.New[string](ticket.Config{
		Addr:        "10.0.0.1:7003",
		Incarnation: 42,
		Secret:      []byte("random bytes of this process"),
		TTL:         5 * time.Minute,
		Cap:         1000,
	})
	now := time.Second // monotonic, from the start of the process
	token := tb.Issue(now, "wash")
	for attempt := range 2 {
		vd := tb.Begin(now, token, "wash", 0xbeef)
		switch vd.Kind {
		case ticket.VerdictRun:
			answer := "member m17"
			tb.Finish(vd.Number, answer, len(answer))
			fmt.Println(attempt, "ran:", answer)
		case ticket.VerdictAnswered:
			fmt.Println(attempt, "ran before:", vd.Answer)
		}
	}
	// Output:
	// 0 ran: member m17
	// 1 ran before: member m17
}

// A ticket arrives at another process, which reads the issuer's address from it.
func ExampleTable_Begin_elsewhere() {
	cfg := ticket.Config{Addr: "10.0.0.1:7003", Incarnation: 42, Secret: []byte("a"), TTL: time.Minute, Cap: 10}
	token := ticket.New[string](cfg).Issue(0, "wash")
	cfg.Addr = "10.0.0.2:7003"
	vd := ticket.New[string](cfg).Begin(0, token, "wash", 1)
	fmt.Println(vd.Kind == ticket.VerdictElsewhere, vd.Issuer.Addr)
	// Output: true 10.0.0.1:7003
}
