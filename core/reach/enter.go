package reach

import "time"

// enterMost bounds how long a VM that has just started stays out of the rotation for
// another one's word: longer than the judge needs to find a cut with it.
const enterMost = 2 * time.Second

// Enters tells whether a VM that has just started may enter the rotation; waited is how
// long it could have. While a data centre is cut off, all its VMs are out, and the balancer
// sends clients elsewhere; a VM that starts there has its configuration from its
// neighbours, and as the only one that is ready would get the clients of all, which it
// cannot serve. So it stays out while a neighbour has proof of a cut and it has heard
// nothing from beyond itself: its silence is as long as it runs.
func Enters(told bool, silence, uptime, waited time.Duration) bool {
	return !told || silence < uptime || waited >= enterMost
}
