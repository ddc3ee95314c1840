package conns_test

import (
	"fmt"

	"laburnumvane/core/conns"
)

func ExamplePlanner() {
	self := conns.VM{Addr: "10.0.0.1:7703", DataCentre: "east"}
	pl := conns.NewPlanner(conns.PlannerConfig{Self: self, Remote: true})
	local := pl.Add(conns.Group{Service: "members-3", DataCentre: "east", Replicas: 1, Limit: 30})
	remote := pl.Add(conns.Group{Service: "members-3", DataCentre: "west", Replicas: 1, Limit: 30})
	fmt.Println("alone:", pl.Share(local, 0), pl.Share(remote, 0))
	for i := 2; i <= 9; i++ {
		dc := []string{"east", "west", "south"}[i%3]
		pl.Apply(conns.Change{VM: conns.VM{Addr: fmt.Sprintf("10.0.0.%d:7703", i), DataCentre: dc}, Joined: true})
	}
	fmt.Println("one of nine:", pl.Share(local, 0), pl.Share(remote, 0))
	// Output:
	// alone: 20 6
	// one of nine: 5 1
}
