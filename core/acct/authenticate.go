package acct

import (
	"strings"
	"time"
)

// scheme is the authentication scheme of client keys; its case does not matter.
const scheme = "Bearer"

// minWait and maxWait bound how long a client is told to wait for a VM whose copy of the
// configuration is out of date. In between it is told to wait for as long as the copy has been out
// of date already: an outage that is short so far mostly ends soon.
const (
	minWait = 250 * time.Millisecond
	maxWait = 2 * time.Second
)

// Reason says why a request is refused; empty means that it is accepted.
type Reason string

// Reasons.
const (
	// ReasonNoKey: the request has no key.
	ReasonNoKey Reason = "noKey"
	// ReasonMalformedKey: the request's credentials have another scheme, or no key.
	ReasonMalformedKey Reason = "malformedKey"
	// ReasonDuplicateKey: the request has several credentials.
	ReasonDuplicateKey Reason = "duplicateKey"
	// ReasonUnknownKey: no account has the key.
	ReasonUnknownKey Reason = "unknownKey"
	// ReasonStaleAccounts: no account has the key in a copy of the configuration that may lack new
	// keys.
	ReasonStaleAccounts Reason = "staleAccounts"
	// ReasonMayBeRevoked: the key may have been removed since the copy of the configuration.
	ReasonMayBeRevoked Reason = "mayBeRevoked"
)

// Temporary reports whether the same request may be accepted once the copy of the configuration is
// up to date.
func (re Reason) Temporary() bool { return re == ReasonStaleAccounts || re == ReasonMayBeRevoked }

// Policy says which age of the copy of the configuration is too high.
type Policy struct {
	// StaleAfter is the age above which the copy may lack new keys.
	StaleAfter time.Duration
	// Strict is set if no key is accepted while the copy is older than RevokeAfter.
	Strict      bool
	RevokeAfter time.Duration
}

// AcceptsKeys reports whether keys are accepted on the basis of a copy of that age.
func (po Policy) AcceptsKeys(age time.Duration) bool { return !po.Strict || age <= po.RevokeAfter }

// Attempt is what a decision about a request depends on.
type Attempt struct {
	// Values are the values of all Authorization headers of the request.
	Values []string
	// Public is set if the route needs no key.
	Public bool
	// Age is the age of the copy of the configuration.
	Age time.Duration
}

// Decision is the result of Authenticate.
type Decision struct {
	// Credential is the key and its account; it is empty if the request has no account.
	Credential Credential
	// Reason is empty if the request is accepted. Wait is then 0; otherwise it is how long the
	// client should wait before it tries again, or 0 if that will not help.
	Reason Reason
	Wait   time.Duration
}

// Authenticate decides whether a request is accepted, and for which account. A request that needs
// no key is always accepted; it has an account only if its key is certainly in force.
func (tb *Table) Authenticate(po Policy, at Attempt) Decision {
	cr, reason := tb.check(po, at)
	switch {
	case reason == "":
		return Decision{Credential: cr}
	case at.Public:
		return Decision{}
	case reason == ReasonMayBeRevoked:
		return Decision{Reason: reason, Wait: waitFor(at.Age - po.RevokeAfter)}
	case reason == ReasonStaleAccounts:
		return Decision{Reason: reason, Wait: waitFor(at.Age - po.StaleAfter)}
	}
	return Decision{Reason: reason}
}

// check finds the credential of a request. Faults that do not depend on the copy of the
// configuration come first: they are permanent.
func (tb *Table) check(po Policy, at Attempt) (Credential, Reason) {
	switch len(at.Values) {
	case 0:
		return Credential{}, ReasonNoKey
	case 1:
	default:
		return Credential{}, ReasonDuplicateKey
	}
	key, ok := keyOf(at.Values[0])
	if !ok {
		return Credential{}, ReasonMalformedKey
	}
	if !po.AcceptsKeys(at.Age) {
		return Credential{}, ReasonMayBeRevoked
	}
	if cr, known := tb.Lookup(key); known {
		return cr, ""
	}
	if at.Age > po.StaleAfter {
		return Credential{}, ReasonStaleAccounts
	}
	return Credential{}, ReasonUnknownKey
}

// keyOf returns the key in the value of an Authorization header.
func keyOf(value string) (string, bool) {
	name, key, _ := strings.Cut(strings.Trim(value, " \t"), " ")
	key = strings.Trim(key, " \t")
	if !strings.EqualFold(name, scheme) || key == "" || strings.ContainsAny(key, " \t,") {
		return "", false
	}
	return key, true
}

func waitFor(overdue time.Duration) time.Duration { return min(max(overdue, minWait), maxWait) }
