package enlist_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/enlist"
)

// Nobody is told who renews a lease, and it must not end while VMs live that share it.
// VMs of one data centre draw each third of its time, none at the same moment, for an
// hour; what the store is asked does not grow with their number.
func TestSharedLeaseIsKept(t *testing.T) {
	const (
		leaseTime = 30 * time.Second
		round     = leaseTime / enlist.Rounds
		lasts     = time.Hour
	)
	cases := []struct {
		name    string
		sharing int
		// most is how often it may be renewed in each round, on average.
		most float64
	}{
		{"alone", 1, 1},
		{"three", 3, 3},
		{"28 of 195", 28, 4.5},
		{"331 of 4,300", 331, 4.5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rd := rand.New(rand.NewPCG(uint64(tc.sharing), 1))
			renewals, last := 0, time.Duration(0)
			for at := time.Duration(0); at < lasts; at += round {
				for vm := range tc.sharing {
					now := at + round*time.Duration(vm)/time.Duration(tc.sharing)
					if rd.Float64() >= enlist.RenewChance(tc.sharing) {
						continue
					}
					is.True(now-last < leaseTime)
					renewals, last = renewals+1, now
				}
			}
			is.True(float64(renewals) <= tc.most*float64(lasts/round))
		})
	}
}

func TestRenewChanceOfNobody(t *testing.T) {
	is.New(t).Equal(enlist.RenewChance(0), 1.0) // this VM's entry is not in the copy yet
}

func TestLeaseOf(t *testing.T) {
	cases := []struct {
		name   string
		leases []uint64
		want   uint64
	}{
		{"none", nil, 0},
		{"none is known", []uint64{0, 0}, 0},
		{"one", []uint64{7, 7, 0}, 7},
		{"that of most", []uint64{7, 7, 9}, 7},
		{"the newest of equal ones", []uint64{7, 9}, 9},
		{"not that of the unknown", []uint64{0, 0, 0, 5}, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(enlist.LeaseOf(tc.leases), tc.want)
		})
	}
}

func TestBook(t *testing.T) {
	is := is.New(t)
	var bk enlist.Book
	for i := range enlist.TxnMost + 3 {
		bk.Add(enlist.Entry{Key: fmt.Sprint(i)})
	}
	bk.Add(enlist.Entry{Key: "1", Value: []byte("anew")})
	bk.Drop("0")
	bk.Drop("not there")
	first := bk.Take()
	is.Equal(len(first), enlist.TxnMost)
	is.Equal(first[0].Key, "1")
	is.Equal(string(first[0].Value), "anew")
	second := bk.Take()
	is.Equal(len(second), 2)
	is.Equal(len(bk.Take()), 0)
	bk.Add(enlist.Entry{Key: "later"})
	is.Equal(first[0].Key, "1") // what was taken stays as it was
	is.Equal(second[1].Key, fmt.Sprint(enlist.TxnMost+2))
}

// The VMs of a data centre share a lease, so the entry of a dead one has to be taken
// away; and none may be taken from a VM that lives, whatever this one does not see.
func TestSilent(t *testing.T) {
	const leaseTime = 30 * time.Second
	leads := enlist.Sight{Now: time.Minute, LeaseTime: leaseTime, Leads: true, Since: 10 * time.Second, Fresh: true}
	live := enlist.Other{Addr: "live", Heard: 59 * time.Second}
	dead := enlist.Other{Addr: "dead", Heard: 45 * time.Second}
	never := enlist.Other{Addr: "never"}
	with := func(change func(*enlist.Sight)) enlist.Sight {
		si := leads
		change(&si)
		return si
	}
	cases := []struct {
		name   string
		sight  enlist.Sight
		others []enlist.Other
		want   []string
	}{
		{"one died", leads, []enlist.Other{live, dead}, []string{"dead"}},
		{"one never asked", leads, []enlist.Other{live, never}, []string{"never"}},
		{"this VM leads only since now", with(func(si *enlist.Sight) { si.Since = 55 * time.Second }), []enlist.Other{live, dead}, nil},
		{"others follow another VM", with(func(si *enlist.Sight) { si.Leads = false }), []enlist.Other{live, dead}, nil},
		{"the store is away", with(func(si *enlist.Sight) { si.Fresh = false }), []enlist.Other{live, dead}, nil},
		{"this VM is cut off from all others", leads, []enlist.Other{dead}, nil},
		{"all others are gone for good", with(func(si *enlist.Sight) { si.Now = 2 * time.Minute }), []enlist.Other{dead}, []string{"dead"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, ot := range enlist.Silent(tc.sight, tc.others) {
				got = append(got, ot.Addr)
			}
			is.New(t).Equal(got, tc.want)
		})
	}
}

func TestSilentFitATransaction(t *testing.T) {
	others := make([]enlist.Other, 2*enlist.TxnMost)
	si := enlist.Sight{Now: time.Hour, LeaseTime: time.Second, Leads: true, Fresh: true}
	is.New(t).Equal(len(enlist.Silent(si, others)), enlist.TxnMost)
}
