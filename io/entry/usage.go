package entry

import (
	"fmt"
	"strings"

	"laburnumvane/core/plan"
	"laburnumvane/core/quota"
)

// maxAccountsNamed limits the accounts that counters and status name; the others are added up.
const maxAccountsNamed = 50

// AccountUsage is the use of the accounts' limits as this VM knows it.
type AccountUsage struct {
	// VM is the inner address of this VM.
	VM string `json:"vm"`
	// Version is that of the configuration in force.
	Version uint64 `json:"version"`
	// CopyAgeMs is the age of this VM's copy of the store, which has the accounts and the VMs, in
	// milliseconds.
	CopyAgeMs int64 `json:"copyAgeMs"`
	// Largest are the accounts with most requests on this VM, or the requested one. Others is the
	// sum of all others.
	Largest []AccountStatus `json:"accounts"`
	Others  *quota.Usage    `json:"others,omitempty"`
	// Holders are the holders of the requested account. Their own status shows its use: granted
	// counts the requests that they ran, lent the tokens that they gave to other VMs.
	Holders []string `json:"holders,omitempty"`
}

// AccountStatus is the use of an account on this VM and, if the account is in the configuration in
// force, the inner addresses of the VMs that can have parts of its limit.
type AccountStatus struct {
	quota.Usage
	Holders []string `json:"holders,omitempty"`
}

// AccountUsage returns the use of one account, or of the largest ones if the name is empty.
func (en *Entry) AccountUsage(account string) AccountUsage {
	vw, now := en.cfg.View(), en.cfg.Clock()
	au := AccountUsage{VM: vw.Self().Addr, Version: configVersion(vw), CopyAgeMs: en.cfg.CopyAge().Milliseconds()}
	if account == "" {
		largest, others := en.limits.quota.Usage(now, maxAccountsNamed)
		au.Largest, au.Others = make([]AccountStatus, 0, len(largest)), &others
		for _, us := range largest {
			au.Largest = append(au.Largest, AccountStatus{Usage: us, Holders: accountHolders(vw, us.Account)})
		}
		return au
	}
	if ac, ok := findAccount(vw, account); ok {
		au.Holders = accountHolders(vw, account)
		au.Largest = []AccountStatus{{Usage: en.limits.quota.UsageOf(now, ac), Holders: au.Holders}}
	}
	return au
}

// accountHolders returns the inner addresses of an account's holders, or nil if the account has no
// limit in the configuration in force.
func accountHolders(vw *plan.View, account string) []string {
	ac, ok := findAccount(vw, account)
	if !ok || !ac.Limited() {
		return nil
	}
	ho := vw.Holders(account)
	addrs := make([]string, 0, len(ho.Peers)+1)
	if ho.Rank >= 0 {
		addrs = append(addrs, vw.Self().Addr)
	}
	for _, pe := range ho.Peers {
		addrs = append(addrs, pe.Addr)
	}
	return addrs
}

// AccountCounters returns counters of the largest accounts by name, and of the others as one, one
// value a line.
func (en *Entry) AccountCounters() string {
	largest, others := en.limits.quota.Usage(en.cfg.Clock(), maxAccountsNamed)
	if len(largest) == 0 && others.Granted == 0 {
		return ""
	}
	others.Account = "others"
	var out strings.Builder
	for _, us := range append(largest, others) {
		name := strings.Join(strings.Fields(us.Account), "_")
		fmt.Fprintf(&out, "account.granted.%s %d\naccount.returned.%s %d\n", name, us.Granted, name, us.Returned)
		fmt.Fprintf(&out, "account.overLimit.%s %d\naccount.noLimitHolder.%s %d\n", name, us.Refused, name, us.Unreachable)
	}
	return out.String()
}
