package enlist

import "time"

// Observation is what one VM knows about the other VMs of its data centre.
type Observation struct {
	Now time.Duration
	// LeaseTime is how long an entry with a lease of its own would outlive its VM.
	LeaseTime time.Duration
	// Followed is set while the others follow this VM. Since is when that began; before, no VM
	// asked this one.
	Followed bool
	Since    time.Duration
	// StoreFresh is set if the store was contacted recently: during an outage of the store, no
	// entry can be removed.
	StoreFresh bool
}

// OtherVM is another VM of the data centre.
type OtherVM struct {
	Key      string
	Addr     string
	Revision uint64
	// LastContact is when the VM last asked this one or answered it; 0 if it never did.
	LastContact time.Duration
}

// Silent returns the VMs that are probably dead, so that their entries may have to be removed:
// VMs that follow this one ask it about once a second. The caller probes these VMs first, since
// a live VM may have a good reason to follow another one.
//
// If there was no recent contact with any of the others, this VM is more likely cut off than all
// of them are dead, so it waits as long as leases of their own would last.
func Silent(ob Observation, others []OtherVM) []OtherVM {
	if !ob.Followed || !ob.StoreFresh {
		return nil
	}
	silenceLimit := ob.LeaseTime
	for _, ot := range others {
		if ot.LastContact > 0 && ob.Now-ot.LastContact < ob.LeaseTime/RenewRounds {
			silenceLimit = ob.LeaseTime / RenewRounds
		}
	}
	var silent []OtherVM
	for _, ot := range others {
		if ob.Now-max(ob.Since, ot.LastContact) >= silenceLimit {
			silent = append(silent, ot)
		}
	}
	return silent[:min(len(silent), MaxTxnEntries)]
}
