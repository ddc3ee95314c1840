package admit

import "time"

const none = int32(-1)

// entry is a search that waits; entries live in one slab and are linked by
// index, so that a queue allocates only while it grows to its largest.
type entry[W any] struct {
	waiter W
	rq     Request
	until  time.Duration
	next   int32
	prev   int32
	stamp  uint32
	queued bool
}

// lane is one team's queue within a class.
type lane struct {
	head, tail int32
	n          int
	deficit    int32
	active     bool
}

// queue is the lanes of one class and the order in which they take turns.
type queue struct {
	lanes []lane
	// turns is a ring of the teams that have something waiting.
	turns []TeamID
	first int
	count int
	n     int
}

func (qu *queue) lane(tm TeamID) *lane {
	for int(tm) >= len(qu.lanes) {
		qu.lanes = append(qu.lanes, lane{head: none, tail: none})
	}
	return &qu.lanes[tm]
}

// join gives a team a turn after all others.
func (qu *queue) join(tm TeamID) {
	if qu.count == len(qu.turns) {
		grown := make([]TeamID, max(4, 2*len(qu.turns)))
		for i := range qu.count {
			grown[i] = qu.turns[(qu.first+i)%len(qu.turns)]
		}
		qu.turns, qu.first = grown, 0
	}
	qu.turns[(qu.first+qu.count)%len(qu.turns)] = tm
	qu.count++
}

func (qu *queue) front() TeamID {
	return qu.turns[qu.first]
}

func (qu *queue) leave() {
	qu.first = (qu.first + 1) % len(qu.turns)
	qu.count--
}

// rotate puts the front team behind the others.
func (qu *queue) rotate() {
	tm := qu.front()
	qu.leave()
	qu.join(tm)
}

// ahead is the number of searches that start before a new one of the team:
// while others take turns, at most as many of each as the team has itself.
func (qu *queue) ahead(tm TeamID) int {
	own := qu.lane(tm).n
	teams := qu.count
	if !qu.lane(tm).active {
		teams++
	}
	return min(qu.n, own+(own+1)*(teams-1))
}

// slab holds all entries of a machine.
type slab[W any] struct {
	entries []entry[W]
	free    int32
}

func (sl *slab[W]) take() int32 {
	if sl.free == none {
		sl.entries = append(sl.entries, entry[W]{})
		return int32(len(sl.entries) - 1)
	}
	i := sl.free
	sl.free = sl.entries[i].next
	return i
}

func (sl *slab[W]) put(i int32) {
	var zero W
	en := &sl.entries[i]
	en.waiter = zero
	en.queued = false
	en.stamp++
	en.next = sl.free
	sl.free = i
}
