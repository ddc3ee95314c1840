package enlist

import "time"

// Sight is what one VM knows about the other VMs of its data centre.
type Sight struct {
	Now time.Duration
	// LeaseTime is how long an entry with a lease of its own would outlive its VM.
	LeaseTime time.Duration
	// Leads is set while the others follow this VM. Since is when that began; before, no VM
	// asked this one.
	Leads bool
	Since time.Duration
	// Fresh is set if the store was contacted recently: during an outage of the store, no
	// entry can be removed.
	Fresh bool
}

// Other is another VM of the data centre.
type Other struct {
	Key      string
	Addr     string
	Revision uint64
	// Heard is when the VM last asked this one or answered it; 0 if it never did.
	Heard time.Duration
}

// Silent returns the VMs that are probably dead, so that their entries may have to be removed:
// VMs that follow this one ask it about once a second. The caller probes these VMs first, since
// a live VM may have a good reason to follow another one.
//
// If there was no recent contact with any of the others, this VM is more likely cut off than all
// of them are dead, so it waits as long as leases of their own would last.
func Silent(si Sight, others []Other) []Other {
	if !si.Leads || !si.Fresh {
		return nil
	}
	silenceLimit := si.LeaseTime
	for _, ot := range others {
		if ot.Heard > 0 && si.Now-ot.Heard < si.LeaseTime/Rounds {
			silenceLimit = si.LeaseTime / Rounds
		}
	}
	var silent []Other
	for _, ot := range others {
		if si.Now-max(si.Since, ot.Heard) >= silenceLimit {
			silent = append(silent, ot)
		}
	}
	return silent[:min(len(silent), TxnMost)]
}
