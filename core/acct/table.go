package acct

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
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
	tb := &Table{
		byKey:    make(map[string]Credential),
		byName:   make(map[string]*Account, len(cfg.Accounts)),
		byDigest: make(map[Digest]*Account),
		accounts: make([]*Account, 0, len(cfg.Accounts)),
	}
	for i := range cfg.Accounts {
		if err := tb.add(i, cfg.Accounts[i]); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

func (tb *Table) add(i int, ac Account) error {
	fault := func(kind Kind, field string) error {
		return &Error{Op: "acct.New", Kind: kind, Path: fmt.Sprintf("accounts[%d].%s", i, field)}
	}
	if ac.Name == "" {
		return fault(KindMissing, "name")
	}
	if strings.ContainsFunc(ac.Name, unicode.IsControl) {
		// The name is sent in a header.
		return fault(KindInvalid, "name")
	}
	if _, taken := tb.byName[ac.Name]; taken {
		return fault(KindDuplicate, "name")
	}
	if invalid(ac.Rate) {
		return fault(KindRange, "rate")
	}
	if invalid(ac.Burst) {
		return fault(KindRange, "burst")
	}
	tb.byName[ac.Name] = &ac
	tb.accounts = append(tb.accounts, &ac)
	for k, key := range ac.Keys {
		if key == "" {
			return fault(KindMissing, fmt.Sprintf("keys[%d]", k))
		}
		if _, taken := tb.byKey[key]; taken {
			return fault(KindDuplicate, fmt.Sprintf("keys[%d]", k))
		}
		dg := DigestOf(key)
		tb.byKey[key] = Credential{Account: &ac, Digest: dg}
		tb.byDigest[dg] = &ac
	}
	return nil
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
