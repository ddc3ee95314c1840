package mirror

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/rank"
	"laburnumvane/core/retry"
)

// Delays of a selector.
const (
	// skipUnresponsive is how long a peer that did not answer is not asked again.
	skipUnresponsive = 3 * time.Second
	// skipStale is how long a peer with stale data is not asked again. skipStaleFirst is
	// the same for the first-ranked VM of a data centre, through which most data passes.
	skipStale      = time.Second
	skipStaleFirst = 400 * time.Millisecond
	// skipEmpty is the same for a peer that has no copy yet: it is alive, and a boot takes
	// some tenths of a second.
	skipEmpty = 300 * time.Millisecond
	// StaleAfter is the age of data above which another source is sought. The VM that
	// watches the store contacts it at least once per watch, whose wait is 1 s; the rest
	// allows for a slow answer.
	StaleAfter = 1800 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the wait before the store is asked again
	// after a failure; the wait doubles in between.
	minStoreBackoff = 300 * time.Millisecond
	maxStoreBackoff = 1500 * time.Millisecond
	// backoffScaleMax bounds the factor by which that wait is longer for a VM of a lower
	// rank. With that factor, the calls of all VMs of a data centre together grow with the
	// logarithm of their number.
	backoffScaleMax = 40
	// rankDelay is how much longer a VM waits per VM that ranks before it, until it asks
	// the store in their place. Beyond the first rankDelayCount of these it waits
	// rankDelayLate per VM: a store that has refused so many VMs is most likely down for
	// all.
	rankDelay      = 200 * time.Millisecond
	rankDelayLate  = time.Second
	rankDelayCount = 4
	// UrgentAfter is the age of this VM's data above which, after a peer did not answer,
	// the store is asked before any other peer. Where several VMs lost power together, each
	// of them costs a time-out, and a server that leaves meanwhile must not get new requests
	// after 3 s. Peers that answer with stale data don't count here: in that case it is the
	// store that is down.
	UrgentAfter = 1500 * time.Millisecond
	// urgentPause is the wait between two such calls; it doubles while they fail. Peers are
	// asked in between, because the store may refuse this VM.
	urgentPause = 2 * time.Second
	// idleWait is how long to wait when no source is left to ask.
	idleWait = 100 * time.Millisecond
	// jitter is the largest share by which a wait is lengthened at random.
	jitter = 0.5
)

// From is the kind of source to ask next.
type From uint8

// Kinds of source.
const (
	// FromStore is the platform's store.
	FromStore From = iota + 1
	// FromPeer is another VM.
	FromPeer
	// FromNone means to wait without asking.
	FromNone
	// FromList is the platform's store, asked for the list of VMs only.
	FromList
)

// String returns the name that logs use.
func (fr From) String() string {
	switch fr {
	case FromStore:
		return "store"
	case FromPeer:
		return "peer"
	case FromList:
		return "list"
	}
	return "nobody"
}

// Step is what a VM does next.
type Step struct {
	From From
	// Addr is the peer's inner address, for FromPeer.
	Addr string
	// Wait is how long to wait for FromNone, and the time-out of a call during a boot.
	Wait time.Duration
}

// Outcome is the result of a step.
type Outcome struct {
	// Failed is set if there was no answer, Refused if the peer's machine refused the
	// connection: its process is not running, or not yet. Empty is set if the peer has no
	// copy yet or declines to give one now.
	Failed, Refused, Empty bool
	// Age is the age of a peer's data.
	Age time.Duration
	// OwnData is set if the peer's data comes from this VM's own call to the store, Follows if
	// the peer follows this VM.
	OwnData, Follows bool
	// Holders are VMs that hold a copy, named by a peer that gives none.
	Holders []string
}

// SelectorConfig configures a Selector.
type SelectorConfig struct {
	Self rank.VM
	Rand *rand.Rand
}

// Selector selects the source from which one VM replicates: the store or another VM. It is not
// safe for concurrent use.
type Selector struct {
	cfg SelectorConfig
	// local are the VMs of this data centre by rank, this VM included; remote those of the
	// other data centres, the first-ranked VM of each one first; higherFirsts the
	// first-ranked VMs of the data centres that rank before this one.
	local []rank.VM
	// before is how many of the local VMs rank before this one.
	before       int
	remote       []rank.VM
	higherFirsts []rank.VM
	// unlisted are asked as long as no other VM is known.
	unlisted []rank.VM
	// firsts are the first-ranked VMs of all data centres, by address.
	firsts map[string]bool
	// skipUntil is until when a peer is not asked, by address.
	skipUntil map[string]time.Duration
	// lacking is set while no VM of a better rank had fresh data when last asked,
	// lackingSince is since when.
	lacking      bool
	lackingSince time.Duration
	// retryAt is the earliest time of the next call to the store after failures.
	retryAt    time.Duration
	storeFails int
	// storeCalled is set while a call to the store is in progress.
	storeCalled bool
	// urgentAt is the earliest time of the next urgent call to the store, see UrgentAfter.
	urgentAt time.Duration
	// unresponsive is set if the VM asked last did not answer.
	unresponsive bool
	// suggested is a VM that had fresh data when it asked this one; empty if none had.
	suggested string
	// localAt and remoteAt are the earliest times at which a search may ask a VM of this
	// data centre and one of another; staleInRow is how many peers in a row had stale data.
	localAt, remoteAt time.Duration
	staleInRow        int
}

// watchSalt makes the order of the VMs that watch the store independent of other orders.
const watchSalt = "watch"

// NewSelector returns a selector without peers.
func NewSelector(cfg SelectorConfig) *Selector {
	se := &Selector{cfg: cfg, skipUntil: make(map[string]time.Duration)}
	se.SetPeers(nil)
	return se
}

// Next returns what to ask next; age is the age of this VM's own data.
func (se *Selector) Next(now, age time.Duration) Step {
	if se.urgent(now, age) {
		return Step{From: FromStore}
	}
	if suggested := se.takeSuggested(); suggested != "" && age > StaleAfter {
		return Step{From: FromPeer, Addr: suggested}
	}
	leader := se.leader(now)
	if leader == "" {
		se.noteLacking(now)
	}
	switch {
	case se.storeDue(now, leader):
		return Step{From: FromStore}
	case leader == "":
		return se.searchStep(now)
	case now < se.localAt:
		return Step{From: FromNone, Wait: min(se.localAt-now, idleWait)}
	}
	return Step{From: FromPeer, Addr: leader}
}

// urgent reports whether to ask the store before any other VM, see UrgentAfter.
func (se *Selector) urgent(now, age time.Duration) bool {
	if se.storeCalled || !se.unresponsive || age <= UrgentAfter || now < se.retryAt || now < se.urgentAt {
		return false
	}
	se.urgentAt = now + se.jittered(urgentPause<<min(se.storeFails, 3))
	return true
}

// storeDue reports whether this VM should ask the store now. leader is its preferred peer,
// empty if there is none. The first-ranked VM of a data centre leaves the store to the data
// centres that rank before, while one of these answers.
func (se *Selector) storeDue(now time.Duration, leader string) bool {
	if se.storeCalled || !se.lacking || now < se.lackingSince+se.turnDelay() || now < se.retryAt {
		return false
	}
	return leader == "" || se.before > 0
}

// turnDelay is how long this VM waits for those that rank before it.
func (se *Selector) turnDelay() time.Duration {
	late := max(0, se.before-rankDelayCount)
	return time.Duration(se.before-late)*rankDelay + time.Duration(late)*rankDelayLate
}

// noteLacking records since when no preferred source has had fresh data.
func (se *Selector) noteLacking(now time.Duration) {
	if !se.lacking {
		se.lacking, se.lackingSince = true, now
	}
}

// leader returns the first VM that ranks before this one and is not skipped: one of this data
// centre or, for the first-ranked VM of a data centre, the first-ranked VM of a data centre
// that ranks before. So only one VM of the region watches the store.
func (se *Selector) leader(now time.Duration) string {
	vms := se.local[:se.before]
	if se.before == 0 {
		vms = se.higherFirsts
	}
	vm, _ := se.firstAvailable(now, vms)
	return vm.Addr
}

func (se *Selector) skipped(now time.Duration, addr string) bool {
	until, ok := se.skipUntil[addr]
	if !ok {
		return false
	}
	if now >= until {
		delete(se.skipUntil, addr)
		return false
	}
	return true
}

// Started records that a call to the store is in progress until Done. Other steps may be taken
// meanwhile: a silent store would otherwise keep this VM from asking the VMs that the store serves.
func (se *Selector) Started(st Step) {
	if st.From == FromStore {
		se.storeCalled = true
	}
}

// Done records the outcome of a step.
func (se *Selector) Done(now time.Duration, st Step, oc Outcome) {
	if st.From == FromNone {
		return
	}
	if oc.Failed || oc.Age > StaleAfter || oc.OwnData || oc.Follows {
		se.noteLacking(now)
	} else {
		se.lacking, se.suggested = false, ""
	}
	if st.From == FromStore {
		se.storeCalled = false
		se.noteStoreOutcome(now, oc)
		return
	}
	se.unresponsive = oc.Failed
	se.notePeerOutcome(now, st.Addr, oc)
}

func (se *Selector) noteStoreOutcome(now time.Duration, oc Outcome) {
	if !oc.Failed {
		se.storeFails, se.retryAt = 0, 0
		return
	}
	se.storeFails++
	bo := retry.Backoff{Initial: minStoreBackoff, Max: maxStoreBackoff, Jitter: jitter}
	// Bounds the sum: all VMs of a data centre ask little more often than a few would.
	scale := min(1+se.before, backoffScaleMax)
	se.retryAt = now + time.Duration(scale)*bo.Wait(se.storeFails, se.cfg.Rand.Float64())
}

func (se *Selector) notePeerOutcome(now time.Duration, addr string, oc Outcome) {
	switch {
	case oc.Failed:
		se.skipUntil[addr] = now + se.jittered(skipUnresponsive)
	case oc.Empty:
		se.skipUntil[addr] = now + se.jittered(skipEmpty)
	case oc.Age > StaleAfter:
		se.skipStalePeer(now, addr)
		se.noteStale(now)
	case oc.OwnData, oc.Follows:
		// The peer's data comes from this VM. Two VMs that follow each other get nothing
		// new until the data of both is stale.
		se.skipStalePeer(now, addr)
		if oc.OwnData {
			// All VMs get their data through this one, so it asks the store without waiting for
			// its turn.
			se.lackingSince = now - se.turnDelay()
		}
	case se.staleInRow > 0:
		// The store serves another VM again. This VM may be the one that should watch it,
		// and until it does, all VMs would ask each other for data that none receives.
		se.retryAt = min(se.retryAt, now)
		se.staleInRow = 0
	}
}

// skipStalePeer skips a VM without fresh data for a while.
func (se *Selector) skipStalePeer(now time.Duration, addr string) {
	wait := skipStale
	if se.firsts[addr] {
		wait = skipStaleFirst
	}
	se.skipUntil[addr] = now + se.jittered(wait)
}

func (se *Selector) jittered(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + jitter*se.cfg.Rand.Float64()))
}
