package member

// diffScore is how many more digests must have differed than agreed before the
// tables are compared. News that are on their way make digests differ for a
// moment; a VM that missed some differs from most of those it talks to.
const (
	diffScore    = 5
	diffScoreMax = 10
)

// diffKey names a comparison: with the VMs of a data centre, about one.
type diffKey struct {
	with, about string
}

// diff is how a comparison went, and how far its repair is.
type diff struct {
	score int
	// push and pull are where the next pages begin.
	push, pull string
}

func (ma *Machine) compare(key diffKey, digest uint64) {
	same := ma.table.area(key.about).digest == digest
	di, ok := ma.diffs[key]
	if !ok {
		if same {
			return
		}
		di = &diff{}
		ma.diffs[key] = di
	}
	if !same {
		di.score = min(diffScoreMax, di.score+ma.diffStep(key))
		return
	}
	di.score--
	if di.score <= 0 {
		delete(ma.diffs, key)
	}
}

// diffStep counts a difference towards another data centre for more: its relays
// are few and talk seldom.
func (ma *Machine) diffStep(key diffKey) int {
	if key.with != ma.self.DataCentre {
		return diffScore - 2
	}
	return 1
}

// repair adds to a message a page of this VM's table and the wish for one of the
// receiver's, while they are known to differ. Both ways are needed: either may
// lack what the other has.
func (ma *Machine) repair(to *record, mg *Message) {
	about, di := ma.worst(to.DataCentre)
	if di == nil {
		return
	}
	page, next := ma.table.area(about).page(di.push, ma.pageSize(to, false))
	di.push = next
	mg.Members = addMembers(mg.Members, page)
	mg.Want = Place{DataCentre: about, After: di.pull}
}

// worst is the data centre about which the difference with another is largest;
// its own first, in order of names.
func (ma *Machine) worst(with string) (string, *diff) {
	best := ""
	var worst *diff
	for _, about := range ma.table.names {
		di, ok := ma.diffs[diffKey{with: with, about: about}]
		if !ok || di.score < diffScore {
			continue
		}
		if worst == nil || di.score > worst.score || about == ma.self.DataCentre {
			best, worst = about, di
		}
	}
	return best, worst
}

// turnPage notes where the next page to be asked for begins.
func (ma *Machine) turnPage(with string, next Place) {
	di, ok := ma.diffs[diffKey{with: with, about: next.DataCentre}]
	if ok && next.DataCentre != "" {
		di.pull = next.After
	}
}

// repairing tells whether tables differ from another data centre's.
func (ma *Machine) repairing(with string) bool {
	_, di := ma.worst(with)
	return di != nil
}
