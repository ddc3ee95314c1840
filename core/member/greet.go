package member

// greet tries VMs that are on the list but not known to live: new ones, and ones
// that were given up and may have been on the far side of a partition. One try
// in each GreetEvery costs the same however wrong the list is.
func (ma *Machine) greet() {
	if ma.now < ma.nextGreet {
		return
	}
	ma.nextGreet = ma.now + ma.cfg.GreetEvery
	n := 1
	if ma.joining {
		n = ma.cfg.Rings
	}
	for _, rc := range ma.strangers(n) {
		ma.send(rc, purposeGreet, 0)
	}
	ma.clean()
}

// strangers draws n VMs by lot from those of the data centre that are worth a
// greeting.
func (ma *Machine) strangers(n int) []*record {
	var able []*record
	for _, rc := range ma.table.area(ma.self.DataCentre).records {
		if rc != ma.self && rc.listed && ma.worthGreeting(rc) {
			able = append(able, rc)
		}
	}
	n = min(n, len(able))
	for i := range n {
		j := i + ma.cfg.Random.IntN(len(able)-i)
		able[i], able[j] = able[j], able[i]
	}
	return able[:n]
}

// worthGreeting takes in known VMs only while this one joins: it has to hear
// the fleet from someone, and what it knew before is old.
func (ma *Machine) worthGreeting(rc *record) bool {
	st := rc.State()
	return st == StateCandidate || st == StateGone || ma.joining
}

// clean forgets VMs that are long gone.
func (ma *Machine) clean() {
	ma.table.forget(func(rc *record) bool {
		return rc.State() == StateGone && rc != ma.self && ma.now-rc.since > ma.cfg.KeepGone
	})
}
