package qsim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/search/internal/qsim"
)

func config(fault qsim.Fault, policy qsim.Policy, load float64) qsim.Config {
	return qsim.Config{
		Plant: qsim.Pettigrew(), Fault: fault, Policy: policy, Seed: 1, Searches: 4000, Load: load,
		Soft: time.Second, Hard: time.Second, MinCoverage: 1,
	}
}

// The same seed gives the same figures, another one others.
func TestRunReplays(t *testing.T) {
	is := is.New(t)
	cfg := config(qsim.Faults()[1], qsim.Tracked(), 0.6)
	a, b := qsim.Run(cfg), qsim.Run(cfg)
	is.Equal(a.Latency.Export(), b.Latency.Export())
	is.Equal(a.Ran, b.Ran)
	cfg.Seed = 2
	other := qsim.Run(cfg)
	is.True(a.Ran != other.Ran)
}

// Every admitted search is answered, whatever goes wrong, and no answer comes
// after its hard deadline.
func TestRunAnswersEverySearch(t *testing.T) {
	for _, fault := range qsim.Faults() {
		t.Run(fault.Name, func(t *testing.T) {
			is := is.New(t)
			rs := qsim.Run(config(fault, qsim.Tracked(), 1.2))
			is.Equal(int(rs.Latency.TotalCount()), rs.Admitted)
			is.Equal(rs.Admitted, 4000)
			is.True(rs.Quantile(100) <= 1001)
		})
	}
}

// Twice as much arrives as the servers can take, and nothing limits admission.
// Servers shed most of it; a retry for each shed would double the load again.
// What is sent stays within the budgets' shares and bursts.
func TestRunOverloadStaysWithinBudgets(t *testing.T) {
	is := is.New(t)
	cfg := config(qsim.Fault{}, qsim.Tracked(), 2)
	rs := qsim.Run(cfg)
	needed := float64(rs.Admitted * cfg.Plant.Shards)
	po := cfg.Policy
	is.True(rs.Extra()*needed <= (po.Share+po.RetryShare)*needed+po.Burst+po.RetryBurst)
	is.True(rs.Extra() < 0.05)
}
