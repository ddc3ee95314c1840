package member

// contactListed sends beats to VMs that are on the list but not known to be live: new VMs, and VMs
// declared gone that may have been on the other side of a partition. One attempt per ContactEvery
// keeps the cost constant however wrong the list is; a joining VM contacts as many as there are
// rings.
func (ma *Machine) contactListed() {
	if ma.now < ma.nextContact {
		return
	}
	ma.nextContact = ma.now + ma.cfg.ContactEvery
	n := 1
	if ma.joining {
		n = ma.cfg.Rings
	}
	for _, rc := range ma.contactTargets(n) {
		ma.send(rc, purposeContact, 0)
	}
	ma.forgetGone()
}

// contactTargets picks at random up to n VMs of the data centre that should be contacted.
func (ma *Machine) contactTargets(n int) []*record {
	var eligible []*record
	for _, rc := range ma.table.dataCentre(ma.self.DataCentre).records {
		if rc != ma.self && rc.listed && ma.shouldContact(rc) {
			eligible = append(eligible, rc)
		}
	}
	n = min(n, len(eligible))
	for i := range n {
		j := i + ma.cfg.Random.IntN(len(eligible)-i)
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	return eligible[:n]
}

// shouldContact reports whether a listed VM is worth contacting. Live VMs are included only while
// this VM joins: it has to get the table from one of them, and its own data is stale.
func (ma *Machine) shouldContact(rc *record) bool {
	st := rc.State()
	return st == StateCandidate || st == StateGone || ma.joining
}

// forgetGone removes VMs that have been gone for longer than GoneRetention.
func (ma *Machine) forgetGone() {
	ma.table.removeIf(func(rc *record) bool {
		return rc.State() == StateGone && rc != ma.self && ma.now-rc.stateSince > ma.cfg.GoneRetention
	})
}
