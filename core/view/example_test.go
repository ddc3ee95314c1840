package view_test

import (
	"fmt"
	"sync/atomic"

	"laburnumvane/core/view"
)

// A search that began before a server was drained keeps its view; the next search sees the change.
func Example() {
	var published atomic.Pointer[view.View]
	first := view.View{}.WithServers([]view.Server{{ID: 0, Addr: "10.0.0.1:9000", State: view.StateServing}})
	published.Store(&first)

	search := published.Load()

	sv := published.Load().Server(0)
	sv.State = view.StateDraining
	next := published.Load().WithServer(sv)
	published.Store(&next)

	fmt.Println(search.Server(0).State, published.Load().Server(0).State)
	// Output: serving draining
}
