package acct

import "time"

// Bounds say how closely the limits of accounts must be kept.
type Bounds struct {
	// Window is the interval over which the requests of an account are counted.
	Window time.Duration
	// Overage is the share by which a limit may be exceeded in a window, Slack a number of
	// requests in addition.
	Overage float64
	Slack   float64
}

// Default bounds of a deployment whose settings have none.
const (
	DefaultQuotaWindow  = 5 * time.Second
	DefaultQuotaOverage = 0.1
	DefaultQuotaSlack   = 20
)

// WithDefaults returns the bounds with the defaults if no window is set.
func (bo Bounds) WithDefaults() Bounds {
	if bo.Window > 0 {
		return bo
	}
	return Bounds{Window: DefaultQuotaWindow, Overage: DefaultQuotaOverage, Slack: DefaultQuotaSlack}
}

// Allowance returns how many requests of an account may be run in a window beyond its rate and
// burst.
func (bo Bounds) Allowance(ac *Account) float64 {
	return bo.Overage*(ac.Rate*bo.Window.Seconds()+ac.Burst) + bo.Slack
}
