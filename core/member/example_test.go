package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/member"
)

// Two machines in one program, with function calls in place of a network. A program with sockets
// works the same way: it sends the message of each Send, passes the reply as Answered, and steps
// the machine with a Tick at the time given by Wake.
func Example() {
	east := member.VM{Addr: "10.0.0.1:7703", DataCentre: "east", Incarnation: 1}
	west := member.VM{Addr: "10.0.0.2:7703", DataCentre: "east", Incarnation: 1}
	machines := map[string]*member.Machine{}
	for i, vm := range []member.VM{east, west} {
		ma, err := member.New(member.Config{Self: vm, Random: rand.New(rand.NewPCG(1, uint64(i)))})
		if err != nil {
			fmt.Println(err)
			return
		}
		machines[vm.Addr] = ma
	}

	now := time.Duration(0)
	step := func(ma *member.Machine, ev member.Event) {
		for _, ac := range ma.Step(now, ev) {
			switch ac := ac.(type) {
			case member.Send:
				for _, answer := range machines[ac.To.Addr].Step(now, member.Received{Message: ac.Message}) {
					if rp, ok := answer.(member.Reply); ok {
						ma.Step(now, member.Answered{Exchange: ac.Exchange, Message: rp.Message})
					}
				}
			case member.Changed:
				fmt.Println(ma.Self().Addr, "sees", ac.Member.Addr, ac.Member.State())
			}
		}
	}
	list := member.Listed{VMs: []member.VM{east, west}}
	for _, vm := range []member.VM{east, west} {
		step(machines[vm.Addr], list)
		step(machines[vm.Addr], member.Tick{})
	}
	fmt.Println("live:", len(machines[east.Addr].Live()), len(machines[west.Addr].Live()))
	step(machines[west.Addr], member.Leave{})
	fmt.Println("live:", len(machines[west.Addr].Live()))

	// Output:
	// live: 2 2
	// 10.0.0.2:7703 sees 10.0.0.2:7703 leaving
	// live: 1
}

// A queue disseminates updates of any type: each item is piggybacked on a bounded number of
// messages, and the items sent least often go first.
func ExampleQueue() {
	qu := member.NewQueue[string, string](10)
	qu.Put("server 1", "leaving")
	qu.Put("server 2", "leaving")
	for range 3 {
		room := 1
		qu.Take(2, func(string) bool {
			room--
			return room >= 0
		})
	}
	fmt.Println(qu.Len(), "left after three messages with room for one, two repetitions each")
	// Output:
	// 1 left after three messages with room for one, two repetitions each
}
