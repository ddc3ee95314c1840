package acct

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"
)

// Account is a client account.
type Account struct {
	Name string
	// Priority ranks the account's requests in place of the route's priority; 0 is the most
	// urgent. It is used only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is how many requests a second all VMs together may run for the account; 0 means no
	// limit. Burst is the number of requests that may exceed the rate at once.
	Rate  float64
	Burst float64
	Keys  []string
}

// Limited reports whether the account has a limit.
func (ac *Account) Limited() bool { return ac.Rate > 0 }

// Digest identifies a key to other VMs without revealing it.
type Digest uint64

// digestBytes is how much of the hash is kept: enough that two of some ten thousand keys hardly
// ever have the same digest.
const digestBytes = 8

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte("client account key\x00" + key))
	return Digest(binary.BigEndian.Uint64(sum[:digestBytes]))
}

// Credential is a key in force: the account that holds it and the key's digest.
type Credential struct {
	Account *Account
	Digest  Digest
}

// Config is the input of a Table.
type Config struct {
	Accounts []Account
}

// Table is the immutable set of client accounts.
type Table struct {
	byKey    map[string]Credential
	byName   map[string]*Account
	byDigest map[Digest]*Account
	accounts []*Account
}

// New returns the table of a configuration, or an *Error that names the first fault.
func New(cfg Config) (*Table, error) {
	tb := newTable(cfg)
	for i := range cfg.Accounts {
		if faults := tb.add(i, cfg.Accounts[i]); len(faults) > 0 {
			return nil, faults[0]
		}
	}
	return tb, nil
}

// Faults lists all faults of a configuration in its order; New succeeds if there are none.
func Faults(cfg Config) []*Error {
	var all []*Error
	tb := newTable(cfg)
	for i := range cfg.Accounts {
		all = append(all, tb.add(i, cfg.Accounts[i])...)
	}
	return all
}

func newTable(cfg Config) *Table {
	return &Table{
		byKey:    make(map[string]Credential),
		byName:   make(map[string]*Account, len(cfg.Accounts)),
		byDigest: make(map[Digest]*Account),
		accounts: make([]*Account, 0, len(cfg.Accounts)),
	}
}

// add adds the account at index i of the configuration and returns its faults. An account with faults
// is added too, so that a later one is compared with it.
func (tb *Table) add(i int, ac Account) []*Error {
	tb.accounts = append(tb.accounts, &ac)
	var faults []*Error
	fault := func(kind Kind, field, first string) {
		faults = append(faults, &Error{Op: "acct.New", Kind: kind, Path: fmt.Sprintf("accounts[%d].%s", i, field), First: first})
	}
	if kind, first := tb.checkName(ac.Name); kind != "" {
		fault(kind, "name", first)
	} else {
		tb.byName[ac.Name] = &ac
	}
	if invalid(ac.Rate) {
		fault(KindRange, "rate", "")
	}
	if invalid(ac.Burst) {
		fault(KindRange, "burst", "")
	}
	for k, key := range ac.Keys {
		if kind, first := tb.checkKey(key); kind != "" {
			fault(kind, fmt.Sprintf("keys[%d]", k), first)
			continue
		}
		dg := DigestOf(key)
		tb.byKey[key] = Credential{Account: &ac, Digest: dg}
		tb.byDigest[dg] = &ac
	}
	return faults
}

// checkName returns the fault of a name, if any, and the place of the same name before it.
func (tb *Table) checkName(name string) (kind Kind, first string) {
	if name == "" {
		return KindMissing, ""
	}
	if strings.ContainsFunc(name, unicode.IsControl) {
		// The name is sent in a header.
		return KindInvalid, ""
	}
	if other, taken := tb.byName[name]; taken {
		return KindDuplicate, fmt.Sprintf("accounts[%d].name", slices.Index(tb.accounts, other))
	}
	return "", ""
}

// checkKey returns the fault of a key, if any, and the place of the same key before it.
func (tb *Table) checkKey(key string) (kind Kind, first string) {
	if key == "" {
		return KindMissing, ""
	}
	if cr, taken := tb.byKey[key]; taken {
		return KindDuplicate, fmt.Sprintf("accounts[%d].keys[%d]", slices.Index(tb.accounts, cr.Account), slices.Index(cr.Account.Keys, key))
	}
	return "", ""
}

func invalid(f float64) bool { return f < 0 || math.IsNaN(f) || math.IsInf(f, 0) }

// Lookup returns the credential of a key that is in force.
func (tb *Table) Lookup(key string) (Credential, bool) {
	cr, ok := tb.byKey[key]
	return cr, ok
}

// Verify returns the account of that name if it holds the key with the given digest.
func (tb *Table) Verify(name string, dg Digest) (*Account, bool) {
	ac, ok := tb.byDigest[dg]
	if !ok || ac.Name != name {
		return nil, false
	}
	return ac, true
}

// ByName returns an account.
func (tb *Table) ByName(name string) (*Account, bool) {
	ac, ok := tb.byName[name]
	return ac, ok
}

// All lists the accounts in the order of the configuration. The caller must not modify the list.
func (tb *Table) All() []*Account { return tb.accounts }

// Len returns the number of accounts.
func (tb *Table) Len() int { return len(tb.accounts) }
