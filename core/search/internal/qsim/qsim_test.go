package qsim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/search/internal/qsim"
)

func config(fault qsim.Fault, policy qsim.Policy, load float64) qsim.Config {
	return qsim.Config{
		Topology: qsim.Pettigrew(), Fault: fault, Policy: policy, Seed: 1, Searches: 4000, Load: load,
		Soft: time.Second, Hard: time.Second, MinCoverage: 1,
	}
}

// Runs with the same seed give the same figures; another seed gives others.
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

// Every admitted search is answered by its hard deadline, whatever the fault.
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

// The load is twice the capacity and admission is not limited. Servers shed most
// sub-requests; a retry after each refusal would double the load once more. The
// extra sub-requests must stay within the shares and bursts of the budgets.
func TestRunOverloadStaysWithinBudgets(t *testing.T) {
	is := is.New(t)
	cfg := config(qsim.Fault{}, qsim.Tracked(), 2)
	rs := qsim.Run(cfg)
	needed := float64(rs.Admitted * cfg.Topology.Shards)
	po := cfg.Policy
	is.True(rs.Extra()*needed <= (po.Share+po.RetryShare)*needed+po.Burst+po.RetryBurst)
	is.True(rs.Extra() < 0.05)
}
