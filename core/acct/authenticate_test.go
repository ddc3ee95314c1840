package acct_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/acct"
)

const (
	staleAfter  = 1800 * time.Millisecond
	revokeAfter = 3 * time.Second
)

// A request must get 401 only if its key is certainly not in force, and no account on the basis of
// a copy of the configuration that is too old.
func TestAuthenticate(t *testing.T) {
	const fresh, stale, old, veryOld = 500 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second, time.Hour
	for _, tc := range []struct {
		name    string
		values  []string
		age     time.Duration
		strict  bool
		public  bool
		account string
		reason  acct.Reason
		wait    time.Duration
	}{
		{name: "valid", values: []string{"Bearer k1"}, age: fresh, account: "a"},
		{name: "second key", values: []string{"Bearer k2"}, age: fresh, account: "a"},
		{name: "other account", values: []string{"Bearer k3"}, age: fresh, account: "b"},
		{name: "case of the scheme", values: []string{"bEARER k1"}, age: fresh, account: "a"},
		{name: "further spaces", values: []string{" Bearer   k1 "}, age: fresh, account: "a"},
		{name: "valid, old copy", values: []string{"Bearer k1"}, age: veryOld, account: "a"},
		{name: "missing", age: fresh, reason: acct.ReasonNoKey},
		{name: "missing, old copy", age: old, strict: true, reason: acct.ReasonNoKey},
		{name: "empty", values: []string{""}, age: fresh, reason: acct.ReasonMalformedKey},
		{name: "no key after the scheme", values: []string{"Bearer "}, age: fresh, reason: acct.ReasonMalformedKey},
		{name: "no scheme", values: []string{"k1"}, age: fresh, reason: acct.ReasonMalformedKey},
		{name: "other scheme", values: []string{"Basic k1"}, age: fresh, reason: acct.ReasonMalformedKey},
		{name: "two keys in one header", values: []string{"Bearer k1 k2"}, age: fresh, reason: acct.ReasonMalformedKey},
		{name: "list of credentials", values: []string{"Bearer k1, Bearer k1"}, age: fresh, reason: acct.ReasonMalformedKey},
		{name: "malformed, old copy", values: []string{"k1"}, age: old, strict: true, reason: acct.ReasonMalformedKey},
		{name: "same header twice", values: []string{"Bearer k1", "Bearer k1"}, age: fresh, reason: acct.ReasonDuplicateKey},
		{name: "unknown", values: []string{"Bearer k4"}, age: fresh, reason: acct.ReasonUnknownKey},
		{name: "case of the key", values: []string{"Bearer K1"}, age: fresh, reason: acct.ReasonUnknownKey},
		{name: "name as key", values: []string{"Bearer a"}, age: fresh, reason: acct.ReasonUnknownKey},
		{name: "unknown at the age of staleness", values: []string{"Bearer k4"}, age: staleAfter, reason: acct.ReasonUnknownKey},
		{name: "unknown, stale copy", values: []string{"Bearer k4"}, age: stale, reason: acct.ReasonStaleAccounts, wait: stale - staleAfter},
		{name: "unknown, copy stale just now", values: []string{"Bearer k4"}, age: staleAfter + 1, reason: acct.ReasonStaleAccounts, wait: 250 * time.Millisecond},
		{name: "unknown, very old copy", values: []string{"Bearer k4"}, age: veryOld, reason: acct.ReasonStaleAccounts, wait: 2 * time.Second},
		{name: "strict, valid", values: []string{"Bearer k1"}, age: revokeAfter, strict: true, account: "a"},
		{name: "strict, valid, old copy", values: []string{"Bearer k1"}, age: old, strict: true, reason: acct.ReasonMayBeRevoked, wait: time.Second},
		{name: "strict, unknown, old copy", values: []string{"Bearer k4"}, age: old, strict: true, reason: acct.ReasonMayBeRevoked, wait: time.Second},
		{name: "public, missing", age: fresh, public: true},
		{name: "public, valid", values: []string{"Bearer k1"}, age: fresh, public: true, account: "a"},
		{name: "public, unknown", values: []string{"Bearer k4"}, age: fresh, public: true},
		{name: "public, unknown, stale copy", values: []string{"Bearer k4"}, age: stale, public: true},
		{name: "public, other scheme", values: []string{"Basic k1"}, age: fresh, public: true},
		{name: "public, twice", values: []string{"Bearer k1", "Bearer k3"}, age: fresh, public: true},
		{name: "public, strict, valid, old copy", values: []string{"Bearer k1"}, age: old, strict: true, public: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable(t, acct.Account{Name: "a", Keys: []string{"k1", "k2"}}, acct.Account{Name: "b", Keys: []string{"k3"}})
			po := acct.Policy{StaleAfter: staleAfter, Strict: tc.strict, RevokeAfter: revokeAfter}
			de := tb.Authenticate(po, acct.Attempt{Values: tc.values, Public: tc.public, Age: tc.age})
			is.Equal(de.Reason, tc.reason)
			is.Equal(de.Wait, tc.wait)
			is.Equal(de.Reason.Temporary(), tc.wait > 0)
			if tc.account == "" {
				is.Equal(de.Credential.Account, nil)
				return
			}
			is.Equal(de.Credential.Account.Name, tc.account)
		})
	}
}
