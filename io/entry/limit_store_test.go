package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/acct"
	"laburnumvane/io/inner"
)

// A holder whose copy of the store is old asks the VMs that could take its place for the age of theirs. If
// the calls were not made, or not answered, it would refuse all requests during an outage of the store.
func TestHolderAsksForAgeOfCopies(t *testing.T) {
	for _, tc := range []struct {
		name      string
		reachable func(string) bool
		holder    bool
	}{{"outage of the store", all, true}, {"cut off alone", none, false}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 30, Burst: 30}, tc.reachable)
			for _, en := range fl.vms {
				en.cfg.CopyAge = func() time.Duration { return 30 * time.Second }
			}
			en := fl.vms[0]
			ac, _ := findAccount(en.cfg.View(), "a")
			en.ObserveStore(0, 0, true)
			fl.take(0)
			fl.now = 30 * time.Second
			for _, ca := range en.limits.quota.ObserveStore(fl.now, fl.now, true) {
				en.callHolder(ca)
			}
			fl.take(0)
			is.Equal(en.limits.quota.UsageOf(fl.now, ac).Holder, tc.holder)
		})
	}
	t.Run("reply", func(t *testing.T) {
		is := is.New(t)
		fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 30, Burst: 30}, all)
		fl.vms[0].cfg.CopyAge = func() time.Duration { return 0 }
		rp, err := fl.vms[0].Allow(context.Background(), &inner.AllowRequest{Borrow: true})
		is.NoErr(err)
		is.Equal(rp.GetCopyAgeMs(), uint64(1)) // 0 means that a VM of an older build does not say
	})
}
