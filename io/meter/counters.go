package meter

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxUnlisted limits the counters of reasons that are not listed. Some reasons come from
	// other processes: a server that invents a new reason for each refusal would otherwise fill
	// the VM's memory with counters.
	maxUnlisted = 64
	// maxReasonLen limits the length of an unlisted reason that gets its own counter.
	maxReasonLen = 48
)

type counterKey struct {
	family, reason string
}

// counters finds the counter of a reason without building its name, which would cost an
// allocation per count.
type counters struct {
	reg metrics.Registry
	// listed is not changed after newCounters and needs no lock.
	listed map[counterKey]metrics.Counter

	mu       sync.RWMutex
	unlisted map[counterKey]metrics.Counter
}

func newCounters(reg metrics.Registry) *counters {
	cs := &counters{
		reg:      reg,
		listed:   make(map[counterKey]metrics.Counter),
		unlisted: make(map[counterKey]metrics.Counter),
	}
	for family, reasons := range listed() {
		for _, reason := range append(reasons, Other) {
			cs.listed[counterKey{family, reason}] = cs.register(family, reason)
		}
	}
	return cs
}

func (cs *counters) register(family, reason string) metrics.Counter {
	return metrics.GetOrRegisterCounter(family+"."+reason, cs.reg)
}

func (cs *counters) counter(family, reason string) metrics.Counter {
	key := counterKey{family, reason}
	if co, ok := cs.listed[key]; ok {
		return co
	}
	cs.mu.RLock()
	co, ok := cs.unlisted[key]
	cs.mu.RUnlock()
	if ok {
		return co
	}
	return cs.addUnlisted(key)
}

func (cs *counters) addUnlisted(key counterKey) metrics.Counter {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if co, ok := cs.unlisted[key]; ok {
		return co
	}
	if len(cs.unlisted) >= maxUnlisted || len(key.reason) > maxReasonLen {
		if co, ok := cs.listed[counterKey{key.family, Other}]; ok {
			return co
		}
		return cs.register(Other, Other)
	}
	co := cs.register(key.family, key.reason)
	cs.unlisted[key] = co
	return co
}
