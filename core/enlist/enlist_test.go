package enlist_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/enlist"
)

// Guards against a shared lease that expires while VMs hold it. No VM is assigned to renew it;
// VMs of one data centre draw lots once per round, at different moments, here for an hour. The
// number of calls to the store must not grow with the number of VMs.
func TestSharedLeaseIsKept(t *testing.T) {
	const (
		leaseTime = 30 * time.Second
		round     = leaseTime / enlist.RenewRounds
		duration  = time.Hour
	)
	cases := []struct {
		name    string
		sharing int
		// most bounds the average number of renewals in a round.
		most float64
	}{
		{"one VM", 1, 1},
		{"three VMs", 3, 3},
		{"28 VMs of 195", 28, 4.5},
		{"331 VMs of 4,300", 331, 4.5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(uint64(tc.sharing), 1))
			renewals, lastRenewal := 0, time.Duration(0)
			for at := time.Duration(0); at < duration; at += round {
				for vm := range tc.sharing {
					now := at + round*time.Duration(vm)/time.Duration(tc.sharing)
					if rnd.Float64() >= enlist.RenewChance(tc.sharing) {
						continue
					}
					is.True(now-lastRenewal < leaseTime)
					renewals, lastRenewal = renewals+1, now
				}
			}
			is.True(float64(renewals) <= tc.most*float64(duration/round))
		})
	}
}

func TestRenewChanceWithoutEntries(t *testing.T) {
	is.New(t).Equal(enlist.RenewChance(0), 1.0) // this VM's own entry is not in its copy yet
}

func TestLeaseOf(t *testing.T) {
	cases := []struct {
		name   string
		leases []uint64
		want   uint64
	}{
		{"no leases", nil, 0},
		{"all unknown", []uint64{0, 0}, 0},
		{"one known", []uint64{7, 7, 0}, 7},
		{"most frequent", []uint64{7, 7, 9}, 7},
		{"newest of equally frequent", []uint64{7, 9}, 9},
		{"unknown ones not counted", []uint64{0, 0, 0, 5}, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(enlist.CommonLease(tc.leases), tc.want)
		})
	}
}

func TestBatch(t *testing.T) {
	is := is.New(t)
	var ba enlist.Batch
	for i := range enlist.MaxTxnEntries + 3 {
		ba.Add(enlist.Entry{Key: fmt.Sprint(i)})
	}
	ba.Add(enlist.Entry{Key: "1", Value: []byte("anew")})
	ba.Drop("0")
	ba.Drop("not there")
	first := ba.Take()
	is.Equal(len(first), enlist.MaxTxnEntries)
	is.Equal(first[0].Key, "1")
	is.Equal(string(first[0].Value), "anew")
	second := ba.Take()
	is.Equal(len(second), 2)
	is.Equal(len(ba.Take()), 0)
	ba.Add(enlist.Entry{Key: "later"})
	is.Equal(first[0].Key, "1") // entries returned by Take don't change later
	is.Equal(second[1].Key, fmt.Sprint(enlist.MaxTxnEntries+2))
}

// Guards against wrong removals. The VMs of a data centre share a lease, so the entry of a dead
// VM has to be removed by another one, and the entry of a live VM must stay even if this VM has
// no contact with it.
func TestSilent(t *testing.T) {
	const leaseTime = 30 * time.Second
	followed := enlist.Observation{Now: time.Minute, LeaseTime: leaseTime, Followed: true, Since: 10 * time.Second, StoreFresh: true}
	live := enlist.OtherVM{Addr: "live", LastContact: 59 * time.Second}
	dead := enlist.OtherVM{Addr: "dead", LastContact: 45 * time.Second}
	never := enlist.OtherVM{Addr: "never"}
	with := func(change func(*enlist.Observation)) enlist.Observation {
		ob := followed
		change(&ob)
		return ob
	}
	cases := []struct {
		name        string
		observation enlist.Observation
		others      []enlist.OtherVM
		want        []string
	}{
		{"one VM died", followed, []enlist.OtherVM{live, dead}, []string{"dead"}},
		{"one VM never asked", followed, []enlist.OtherVM{live, never}, []string{"never"}},
		{"this VM was followed only recently", with(func(ob *enlist.Observation) { ob.Since = 55 * time.Second }), []enlist.OtherVM{live, dead}, nil},
		{"the VMs follow another VM", with(func(ob *enlist.Observation) { ob.Followed = false }), []enlist.OtherVM{live, dead}, nil},
		{"store outage", with(func(ob *enlist.Observation) { ob.StoreFresh = false }), []enlist.OtherVM{live, dead}, nil},
		{"no contact with any VM", followed, []enlist.OtherVM{dead}, nil},
		{"no contact with any VM for the lease time", with(func(ob *enlist.Observation) { ob.Now = 2 * time.Minute }), []enlist.OtherVM{dead}, []string{"dead"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, ot := range enlist.Silent(tc.observation, tc.others) {
				got = append(got, ot.Addr)
			}
			is.New(t).Equal(got, tc.want)
		})
	}
}

func TestSilentFitsOneTransaction(t *testing.T) {
	others := make([]enlist.OtherVM, 2*enlist.MaxTxnEntries)
	ob := enlist.Observation{Now: time.Hour, LeaseTime: time.Second, Followed: true, StoreFresh: true}
	is.New(t).Equal(len(enlist.Silent(ob, others)), enlist.MaxTxnEntries)
}
