package enlist

import "time"

// Sight is what one VM knows about the other VMs of its data centre.
type Observation struct {
	Now time.Duration
	// LeaseTime is how long an entry with a lease of its own would outlive its VM.
	LeaseTime time.Duration
	// Leads is set while the others follow this VM. Since is when that began; before, no VM
	// asked this one.
	Followed bool
	Since    time.Duration
	// Fresh is set if the store was contacted recently: during an outage of the store, no
	// entry can be removed.
	StoreFresh bool
}

// Other is another VM of the data centre.
type OtherVM struct {
	Key      string
	Addr     string
	Revision uint64
	// Heard is when the VM last asked this one or answered it; 0 if it never did.
	LastContact time.Duration
}

// Silent returns the VMs that are probably dead, so that their entries may have to be removed:
// VMs that follow this one ask it about once a second. The caller probes these VMs first, since
// a live VM may have a good reason to follow another one.
//
// If there was no recent contact with any of the others, this VM is more likely cut off than all
// of them are dead, so it waits as long as leases of their own would last.
func Silent(si Observation, others []OtherVM) []OtherVM {
	if !si.Followed || !si.StoreFresh {
		return nil
	}
	silenceLimit := si.LeaseTime
	for _, ot := range others {
		if ot.LastContact > 0 && si.Now-ot.LastContact < si.LeaseTime/RenewRounds {
			silenceLimit = si.LeaseTime / RenewRounds
		}
	}
	var silent []OtherVM
	for _, ot := range others {
		if si.Now-max(si.Since, ot.LastContact) >= silenceLimit {
			silent = append(silent, ot)
		}
	}
	return silent[:min(len(silent), MaxTxnEntries)]
}
