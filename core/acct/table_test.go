package acct_test

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/acct"
)

func newTable(t *testing.T, accounts ...acct.Account) *acct.Table {
	t.Helper()
	tb, err := acct.New(acct.Config{Accounts: accounts})
	if err != nil {
		t.Fatal(err)
	}
	return tb
}

func TestLookup(t *testing.T) {
	is := is.New(t)
	tb := newTable(t, acct.Account{Name: "a", Keys: []string{"k1", "k2"}}, acct.Account{Name: "b"})
	cr, ok := tb.Lookup("k2")
	is.True(ok)
	is.Equal(cr.Account.Name, "a")
	is.Equal(cr.Digest, acct.DigestOf("k2"))
	_, ok = tb.Lookup("")
	is.True(!ok)
	_, ok = tb.Lookup("k3")
	is.True(!ok)
}

// A VM to which a request is forwarded must not run it if the key is gone, or belongs to another
// account, in its own version of the configuration.
func TestVerify(t *testing.T) {
	tb := newTable(t, acct.Account{Name: "a", Keys: []string{"k1"}}, acct.Account{Name: "b", Keys: []string{"k2"}})
	for _, tc := range []struct {
		name, key string
		want      bool
	}{{"a", "k1", true}, {"a", "k2", false}, {"b", "k2", true}, {"a", "removed", false}, {"", "k1", false}} {
		is := is.New(t)
		_, ok := tb.Verify(tc.name, acct.DigestOf(tc.key))
		is.Equal(ok, tc.want)
	}
}

// A faulty account must be refused with the place of the fault and without its keys, which are
// secret.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name     string
		accounts []acct.Account
		kind     acct.Kind
		path     string
	}{
		{"no name", []acct.Account{{}}, acct.KindMissing, "accounts[0].name"},
		{"same name", []acct.Account{{Name: "a"}, {Name: "a"}}, acct.KindDuplicate, "accounts[1].name"},
		{"empty key", []acct.Account{{Name: "a", Keys: []string{"k", ""}}}, acct.KindMissing, "accounts[0].keys[1]"},
		{"key of another account", []acct.Account{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}, acct.KindDuplicate, "accounts[1].keys[0]"},
		{"key twice in one account", []acct.Account{{Name: "a", Keys: []string{"secret", "secret"}}}, acct.KindDuplicate, "accounts[0].keys[1]"},
		{"name with a line break", []acct.Account{{Name: "a\r\nX: y"}}, acct.KindInvalid, "accounts[0].name"},
		{"negative rate", []acct.Account{{Name: "a", Rate: -1}}, acct.KindRange, "accounts[0].rate"},
		{"burst that is no number", []acct.Account{{Name: "a", Burst: math.NaN()}}, acct.KindRange, "accounts[0].burst"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := acct.New(acct.Config{Accounts: tc.accounts})
			var ae *acct.Error
			is.True(errors.As(err, &ae))
			is.Equal(ae.Kind, tc.kind)
			is.Equal(ae.Path, tc.path)
		})
	}
}

// An operator who mends a document must see all its faults at once, in its order; a faulty account is
// no reason to pass over those after it. A duplicate names the place of the first occurrence, as the
// key itself is secret.
func TestAllFaultsAreListed(t *testing.T) {
	is := is.New(t)
	cfg := acct.Config{Accounts: []acct.Account{
		{Name: "a", Keys: []string{"secret", "", "secret"}, Rate: -1, Burst: -1},
		{Keys: []string{"other", "secret"}},
		{Name: "a", Keys: []string{"other"}},
		{Name: "b", Keys: []string{"third"}},
	}}
	var lines []string
	for _, flt := range acct.Faults(cfg) {
		lines = append(lines, fmt.Sprintf("%s %s %s", flt.Path, flt.Kind, flt.First))
	}
	is.Equal(lines, []string{
		"accounts[0].rate range ",
		"accounts[0].burst range ",
		"accounts[0].keys[1] missing ",
		"accounts[0].keys[2] duplicate accounts[0].keys[0]",
		"accounts[1].name missing ",
		"accounts[1].keys[1] duplicate accounts[0].keys[0]",
		"accounts[2].name duplicate accounts[0].name",
		"accounts[2].keys[0] duplicate accounts[1].keys[0]",
	})
	is.Equal(len(acct.Faults(acct.Config{Accounts: cfg.Accounts[3:]})), 0)
}

// The cost of a lookup must not grow with the number of accounts, and it must not allocate: it is
// made for each request.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{76, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			accounts := make([]acct.Account, n)
			for i := range accounts {
				accounts[i] = acct.Account{Name: fmt.Sprint("account-", i), Keys: []string{fmt.Sprint("key-", i), fmt.Sprint("old-", i)}}
			}
			tb, err := acct.New(acct.Config{Accounts: accounts})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := tb.Lookup("old-7"); !ok {
					b.Fatal("key not found")
				}
			}
		})
	}
}
