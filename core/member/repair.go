package member

// repairThreshold is the score of digest comparisons (differences less matches) at which table
// pages are exchanged. Updates in transit make digests differ briefly; a VM that missed an update
// differs from most VMs it exchanges messages with.
const (
	repairThreshold = 5
	maxDiffScore    = 10
)

// diffKey identifies a series of digest comparisons: with VMs of data centre with, about the
// members of data centre about.
type diffKey struct {
	with, about string
}

// diff is the result of a series of digest comparisons and the progress of the repair.
type diff struct {
	score int
	// push and pull are the cursors of the next page to send and to request.
	push, pull string
}

func (ma *Machine) compareDigest(key diffKey, digest uint64) {
	same := ma.table.dataCentre(key.about).digest == digest
	di, ok := ma.diffs[key]
	if !ok {
		if same {
			return
		}
		di = &diff{}
		ma.diffs[key] = di
	}
	if !same {
		di.score = min(maxDiffScore, di.score+ma.diffWeight(key))
		return
	}
	di.score--
	if di.score <= 0 {
		delete(ma.diffs, key)
	}
}

// diffWeight gives differences with another data centre a higher weight, because its relays are few
// and exchange messages rarely.
func (ma *Machine) diffWeight(key diffKey) int {
	if key.with != ma.self.DataCentre {
		return repairThreshold - 2
	}
	return 1
}

// repair adds to a message a page of this VM's table and a request for a page of the receiver's,
// while the tables are known to differ. Both directions are needed, because either table may lack
// entries of the other.
func (ma *Machine) repair(to *record, mg *Message) {
	about, di := ma.largestDiff(to.DataCentre)
	if di == nil {
		return
	}
	page, next := ma.table.dataCentre(about).page(di.push, ma.pageSize(to, false))
	di.push = next
	mg.Members = addMembers(mg.Members, page)
	mg.WantPage = Cursor{DataCentre: about, After: di.pull}
}

// largestDiff returns the data centre whose members differ most between this VM and the VMs of data
// centre with, and nil if no difference reaches the threshold. This VM's own data centre takes
// precedence, then the order of names.
func (ma *Machine) largestDiff(with string) (string, *diff) {
	name := ""
	var largestDiff *diff
	for _, about := range ma.table.dcNames {
		di, ok := ma.diffs[diffKey{with: with, about: about}]
		if !ok || di.score < repairThreshold {
			continue
		}
		if largestDiff == nil || di.score > largestDiff.score || about == ma.self.DataCentre {
			name, largestDiff = about, di
		}
	}
	return name, largestDiff
}

// savePullCursor records where the next page to request begins.
func (ma *Machine) savePullCursor(with string, next Cursor) {
	di, ok := ma.diffs[diffKey{with: with, about: next.DataCentre}]
	if ok && next.DataCentre != "" {
		di.pull = next.After
	}
}

// repairing reports whether a repair with another data centre is in progress.
func (ma *Machine) repairing(with string) bool {
	_, di := ma.largestDiff(with)
	return di != nil
}
