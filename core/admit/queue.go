package admit

import "time"

const noEntry = int32(-1)

// entry is a queued search. Entries are elements of one slab and linked by index,
// so that a queue allocates memory only when it reaches a new maximum length.
type entry[W any] struct {
	waiter  W
	rq      Request
	startBy time.Duration
	next    int32
	prev    int32
	// generation counts the uses of the entry, so that an old Handle does not match.
	generation uint32
	queued     bool
}

// teamQueue is one team's queue within a class.
type teamQueue struct {
	head, tail int32
	n          int
	// deficit is the cost that the team may still start in this turn.
	deficit int32
	// active is set while the team is in classQueue.turns.
	active bool
}

// classQueue holds the team queues of one class and the order of their turns.
type classQueue struct {
	teams []teamQueue
	// turns is a ring buffer of the teams that take turns: first is the index of
	// the next one, count their number.
	turns []TeamID
	first int
	count int
	n     int
}

func (cq *classQueue) teamQueue(tm TeamID) *teamQueue {
	for int(tm) >= len(cq.teams) {
		cq.teams = append(cq.teams, teamQueue{head: noEntry, tail: noEntry})
	}
	return &cq.teams[tm]
}

// pushTurn adds a team at the end of the turns.
func (cq *classQueue) pushTurn(tm TeamID) {
	if cq.count == len(cq.turns) {
		grown := make([]TeamID, max(4, 2*len(cq.turns)))
		for i := range cq.count {
			grown[i] = cq.turns[(cq.first+i)%len(cq.turns)]
		}
		cq.turns, cq.first = grown, 0
	}
	cq.turns[(cq.first+cq.count)%len(cq.turns)] = tm
	cq.count++
}

func (cq *classQueue) frontTeam() TeamID {
	return cq.turns[cq.first]
}

func (cq *classQueue) popTurn() {
	cq.first = (cq.first + 1) % len(cq.turns)
	cq.count--
}

// rotate moves the team at the front to the end of the turns.
func (cq *classQueue) rotate() {
	tm := cq.frontTeam()
	cq.popTurn()
	cq.pushTurn(tm)
}

// ahead estimates the number of searches that start before a new one of the team:
// the team's own and, of each other team, as many again plus one, since the teams
// take turns.
func (cq *classQueue) ahead(tm TeamID) int {
	own := cq.teamQueue(tm).n
	teams := cq.count
	if !cq.teamQueue(tm).active {
		teams++
	}
	return min(cq.n, own+(own+1)*(teams-1))
}

// slab holds all entries of a machine and reuses the free ones.
type slab[W any] struct {
	entries  []entry[W]
	freeHead int32
}

func (sl *slab[W]) alloc() int32 {
	if sl.freeHead == noEntry {
		sl.entries = append(sl.entries, entry[W]{})
		return int32(len(sl.entries) - 1)
	}
	i := sl.freeHead
	sl.freeHead = sl.entries[i].next
	return i
}

func (sl *slab[W]) release(i int32) {
	var zero W
	en := &sl.entries[i]
	en.waiter = zero
	en.queued = false
	en.generation++
	en.next = sl.freeHead
	sl.freeHead = i
}
