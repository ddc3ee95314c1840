package follow

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/enlist"
	"laburnumvane/core/mirror"
	"laburnumvane/core/rank"
	"laburnumvane/io/inner"
	"laburnumvane/io/stubs"
)

const (
	// watchWait is how long a watch waits at the store. Each watch costs a call, and a dead
	// connection to the store is only noticed at its end.
	watchWait = time.Second
	// watchSlack is how much longer than watchWait the store may take.
	watchSlack = 600 * time.Millisecond
	// storeInterval is the minimum time between two calls to the store. Without it, when many
	// entries change, each change would cost a call.
	storeInterval = 200 * time.Millisecond
	// copyTimeout limits the reading of a complete copy.
	copyTimeout = 3 * time.Second
	// peerWait is how long another VM waits for an update before it answers; peerSlack is how
	// much longer its answer may take. That a VM lost power is only noticed after both, and the
	// next VMs may have lost power too. So once the copy is older than shortWaitAfter, about one
	// full wait, the short times apply.
	peerWait       = 800 * time.Millisecond
	peerSlack      = 400 * time.Millisecond
	shortWaitAfter = time.Second
	shortPeerWait  = 250 * time.Millisecond
	shortPeerSlack = 250 * time.Millisecond
	// unknownAge is the age reported as long as there is no copy.
	unknownAge = time.Hour
	// noContact stands for the time of a contact with the store where there was none.
	noContact = math.MinInt64
)

// Store is the part of the platform's store that a Follower uses.
type Store interface {
	// Range reads all entries under a prefix.
	Range(ctx context.Context, prefix string) (mirror.Update, error)
	// Watch waits until entries under a prefix change after a revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (mirror.Update, error)
	// Reset closes idle connections.
	Reset()
	// Compacted reports whether an error of Watch means that the store no longer has the
	// history.
	Compacted(err error) bool
}

// Change is a set of changes that became known together.
type Change struct {
	Events []mirror.Event
	// Whole is set if the events come from a complete copy.
	Whole bool
	// Age is the age of the copy before the change.
	Age time.Duration
	// Returned is when the store was available again after an outage; 0 if no outage is known.
	Returned time.Duration
	From     mirror.From
	// Peer is the address of the VM that sent the change, if it came from a VM.
	Peer string
	AsOf uint64
}

// Config configures a Follower.
type Config struct {
	Self  rank.VM
	Store Store
	// Prefix is the prefix of the keys to follow.
	Prefix string
	// Seeds are the inner addresses of some VMs, which may be out of date.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	Clock      func() time.Duration
	Rand       *rand.Rand
	// OnChange is called for each change, on Run's goroutine.
	OnChange func(Change)
	// OnBootFailed is called when the store did not give this VM its first copy; it may be nil.
	OnBootFailed func()
	// OnSourceChange is called when the source of updates changes, with the error that caused it, if
	// one did.
	OnSourceChange func(to mirror.Step, age time.Duration, err error)
	// Count, if not nil, is called with the name of each step.
	Count func(event string)
	// LinkMbps is the rate of this VM's link, in Mbit/s; 0 if it is not known. If it is set,
	// List must be set too and return the VMs that the store lists.
	LinkMbps float64
	List     func(ctx context.Context) ([]mirror.Member, error)
	// OnHint is called for each hint from another VM and must not block. If it is nil, hints are
	// dropped.
	OnHint func(word string)
	// Enlist writes another VM's entry and returns its lease. If it is nil, such calls are
	// refused.
	Enlist func(ctx context.Context, en enlist.Entry) (lease uint64, err error)
}

// Follower keeps a copy of the store up to date.
type Follower struct {
	cfg         Config
	selector    *mirror.Selector
	peers       *stubs.Pool[inner.Feed]
	valuePacker packer
	// copyPacker compresses copies for VMs that have none, and copyLimiter limits how many are
	// sent.
	copyPacker  copyPacker
	copyLimiter mirror.CopyLimiter
	// dataCentres maps the address of each VM to its data centre; only Run uses it.
	dataCentres map[string]string
	// calls tracks calls that run in the background.
	calls sync.WaitGroup
	// storeCalledAt is when the store was last called, or will be.
	storeCalledAt time.Duration
	// source is the last step that OnSourceChange was called with; only Run uses it.
	source mirror.Step
	// firstSource is the VM that sent the first copy, if a VM did; only Run uses it.
	firstSource string
	// applied is the last contact with the store whose updates OnChange has processed; noContact
	// if there is none.
	applied atomic.Int64

	mu      sync.Mutex
	replica *mirror.Replica
	outage  mirror.Outage
	// remoteAnswerAt is when the store or a VM of another data centre last answered, with
	// updates or without.
	remoteAnswerAt time.Duration
	changed        chan struct{}
	leaving        bool
	// newPeers is a list that Run has not applied yet. freshCaller is the last caller whose copy
	// was newer than this VM's.
	newPeers    []rank.VM
	freshCaller freshCaller
	// follows is the VM that this VM follows, and leader the same if it is in this data centre;
	// both are empty if there is none.
	follows, leader string
	// origin is the VM that got this VM's latest update from the store.
	origin string
	cut    cutState
	// hints are the hints that this VM passes on. hintsSeen has, for each other VM, the number
	// of the last hint received from it.
	hints     mirror.Hints
	hintsSeen map[string]uint64
	// staleCallers are VMs whose last answer from this one had stale data.
	staleCallers []string
	// lastSeen is when each VM last called this one or gave another sign of life.
	lastSeen map[string]time.Duration
}

// freshCaller is a VM that called this one, and the time at which its copy was current.
type freshCaller struct {
	addr      string
	currentAt time.Duration
}

// New returns a follower with an empty copy.
func New(cfg Config) *Follower {
	if cfg.Count == nil {
		cfg.Count = func(string) {}
	}
	if cfg.OnHint == nil {
		cfg.OnHint = func(string) {}
	}
	fo := &Follower{
		cfg:           cfg,
		selector:      mirror.NewSelector(mirror.SelectorConfig{Self: cfg.Self, Rand: cfg.Rand}),
		peers:         newStubs(),
		replica:       mirror.NewReplica(mirror.DefaultHistory),
		storeCalledAt: -storeInterval,
		changed:       make(chan struct{}),
		lastSeen:      make(map[string]time.Duration),

		hintsSeen: make(map[string]uint64),
	}
	fo.applied.Store(noContact)
	return fo
}

// SetPeers sets the other VMs.
func (fo *Follower) SetPeers(vms []rank.VM) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.newPeers = vms
}

// AnnounceExit reports to callers from now on that this VM is about to exit.
func (fo *Follower) AnnounceExit() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.leaving = true
	fo.wakeAll()
}

// Age returns the time since the copy was current with the store. It is an hour if there is no
// copy yet.
func (fo *Follower) Age() time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.age(fo.cfg.Clock())
}

// AppliedAge is like Age, but an update counts only once OnChange has returned. Age is low as soon as
// an update arrives: after an outage, a new key would for some milliseconds be taken for a wrong one,
// and a removed one for a valid one.
func (fo *Follower) AppliedAge() time.Duration {
	if contact := fo.applied.Load(); contact != noContact {
		return fo.cfg.Clock() - time.Duration(contact)
	}
	return unknownAge
}

// RemoteSilence returns the time since this VM last got anything from outside its data centre: an
// update that originates from the store, by whatever path, or an answer of a VM there.
func (fo *Follower) RemoteSilence() time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.cfg.Clock() - max(fo.remoteAnswerAt, fo.outage.LastContact())
}

// RecordRemoteAnswer records that a VM of another data centre answered just now.
func (fo *Follower) RecordRemoteAnswer() {
	now := fo.cfg.Clock()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.remoteAnswerAt = now
}

// isRemote reports whether a VM is known to be in another data centre.
func (fo *Follower) isRemote(addr string) bool {
	dataCentre, ok := fo.dataCentres[addr]
	return ok && dataCentre != fo.cfg.Self.DataCentre
}

func (fo *Follower) age(now time.Duration) time.Duration {
	if !fo.outage.Contacted() {
		return unknownAge
	}
	return now - fo.outage.LastContact()
}

// Run keeps the copy up to date until the context ends.
func (fo *Follower) Run(ctx context.Context) {
	defer fo.peers.Close()
	defer fo.calls.Wait()
	fo.boot(ctx)
	fo.followFirstSource(ctx)
	ca := newStoreCall(fo)
	for ctx.Err() == nil {
		fo.applyPeers(ctx)
		fo.notifyStaleCallers(ctx)
		if as := fo.takeFreshCaller(); as.addr != "" {
			fo.selector.Suggest(as.addr, fo.cfg.Clock()-as.currentAt)
		}
		if re, ok := ca.finished(); ok {
			fo.finishStoreCall(ctx, re)
			continue
		}
		st := fo.selector.Next(fo.cfg.Clock(), fo.Age())
		fo.announceStep(st)
		if st.From == mirror.FromStore {
			fo.selector.Started(st)
			ca.start(ctx)
			ca.awaitFresh(ctx)
			continue
		}
		fo.runStep(ctx, ca, st)
	}
}

// applyPeers applies a new list of VMs. The seeds may not know this VM and may not be served by the
// store, so they are told of a VM that got its first list from there.
func (fo *Follower) applyPeers(ctx context.Context) {
	fo.mu.Lock()
	vms := fo.newPeers
	fo.newPeers = nil
	if vms != nil {
		fo.pruneLastSeen(vms)
	}
	served := fo.origin == fo.cfg.Self.Addr
	fo.mu.Unlock()
	if vms == nil {
		if len(fo.dataCentres) <= 1 {
			fo.selector.SetUnlisted(fo.unlisted())
		}
		return
	}
	if len(fo.dataCentres) <= 1 && len(vms) > 1 && served {
		fo.notifySeeds(ctx)
	}
	fo.selector.SetPeers(vms)
	fo.dataCentres = make(map[string]string, len(vms))
	for _, vm := range vms {
		fo.dataCentres[vm.Addr] = vm.DataCentre
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}

// wakeAll wakes the callers that wait for an update or for the copy to be current again. The
// caller holds the lock.
func (fo *Follower) wakeAll() {
	close(fo.changed)
	fo.changed = make(chan struct{})
}
