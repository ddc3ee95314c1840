package entry

import (
	"fmt"
	"strings"

	"laburnumvane/core/quota"
)

// maxAccountsNamed limits the accounts that counters and status name; the others are added up.
const maxAccountsNamed = 50

// AccountUsage is the use of the accounts' limits as this VM knows it.
type AccountUsage struct {
	// Version is that of the configuration in force.
	Version uint64 `json:"version"`
	// Largest are the accounts with most requests on this VM, or the requested one. Others is the
	// sum of all others.
	Largest []quota.Usage `json:"accounts"`
	Others  *quota.Usage  `json:"others,omitempty"`
	// Holders are the inner addresses of the VMs that can have parts of the requested account's
	// limit. Their own status shows its use: granted counts the requests that they ran, lent the
	// tokens that they gave to other VMs.
	Holders []string `json:"holders,omitempty"`
}

// AccountUsage returns the use of one account, or of the largest ones if the name is empty.
func (en *Entry) AccountUsage(account string) AccountUsage {
	vw, now := en.cfg.View(), en.cfg.Clock()
	au := AccountUsage{Version: configVersion(vw)}
	if account == "" {
		largest, others := en.limits.quota.Usage(now, maxAccountsNamed)
		au.Largest, au.Others = largest, &others
		return au
	}
	ac, ok := findAccount(vw, account)
	if !ok {
		return au
	}
	au.Largest = []quota.Usage{en.limits.quota.UsageOf(now, ac)}
	ho := vw.Holders(account)
	if ho.Rank >= 0 {
		au.Holders = append(au.Holders, vw.Self().Addr)
	}
	for _, pe := range ho.Peers {
		au.Holders = append(au.Holders, pe.Addr)
	}
	return au
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
