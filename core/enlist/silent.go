package enlist

import "time"

// Sight is what one VM sees of others of its data centre.
type Sight struct {
	Now time.Duration
	// LeaseTime is how long an entry would outlive its VM under a lease of its own.
	LeaseTime time.Duration
	// Leads is set while this VM is the one that the others follow, and Since when that
	// began: nobody asked it before.
	Leads bool
	Since time.Duration
	// Fresh is set if the store was heard lately: while it is away, no entry can be
	// taken away.
	Fresh bool
}

// Other is another VM of the data centre.
type Other struct {
	Key      string
	Addr     string
	Revision uint64
	// Heard is when it last asked this VM, or answered it; 0 if it never did.
	Heard time.Duration
}

// Silent lists the VMs whose entries may have to be taken away: those that follow this
// VM ask it about once a second. Whoever uses it asks them for a sign of life first,
// since a VM may follow another one for good reasons.
//
// Where not one of the others was heard, this VM is more likely cut off from them than
// they are all dead, and it waits as long as a lease of their own would last.
func Silent(si Sight, others []Other) []Other {
	if !si.Leads || !si.Fresh {
		return nil
	}
	patience := si.LeaseTime
	for _, ot := range others {
		if ot.Heard > 0 && si.Now-ot.Heard < si.LeaseTime/Rounds {
			patience = si.LeaseTime / Rounds
		}
	}
	var silent []Other
	for _, ot := range others {
		if si.Now-max(si.Since, ot.Heard) >= patience {
			silent = append(silent, ot)
		}
	}
	return silent[:min(len(silent), TxnMost)]
}
