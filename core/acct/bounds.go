package acct

import "time"

// Bounds are the bounds within which a deployment keeps the limits of its accounts: in any window,
// servers run at most (rate x window + burst) x (1 + Overage) + Slack requests of an account.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}
