// Package acct holds the client accounts of one version of the configuration: their keys, their
// priorities and their limits.
//
// # Usage
//
//	tb, err := acct.New(acct.Config{Accounts: accounts})
//	de := tb.Authenticate(policy, acct.Attempt{Values: authorization, Public: rt.Public, Age: age})
//	ac, ok := tb.Verify(name, digest) // on a VM to which a request was forwarded
//
// A Table is immutable, and Authenticate depends on its arguments only. A Lookup does not allocate, and its cost does not depend on the number of
// accounts.
//
// # Keys
//
// A key is a secret between the client and the VM that the client reaches. Other VMs get its
// Digest instead, which shows that the key is in force in their version of the configuration too.
package acct
