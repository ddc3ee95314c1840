package meter

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxUnlisted bounds the counters of reasons that no list has. Some come
	// from other processes: a server that makes up a new refusal for each
	// reply would otherwise fill the VM's memory with counters.
	maxUnlisted = 64
	// maxReasonLen bounds a reason that is given a counter of its own.
	maxReasonLen = 48
)

type counterKey struct {
	family, reason string
}

// counters finds the counter of a reason without making its name anew, which
// costs an allocation for each count.
type counters struct {
	reg metrics.Registry
	// listed never changes and needs no lock.
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

func (cs *counters) of(family, reason string) metrics.Counter {
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
	return cs.add(key)
}

func (cs *counters) add(key counterKey) metrics.Counter {
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
