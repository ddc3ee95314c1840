package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/enlist"
	"laburnumvane/core/feed"
	"laburnumvane/core/rank"
	"laburnumvane/io/inner"
	"laburnumvane/io/stubs"
)

const (
	// storeWait is how long a watch waits at the store. Each costs a call, and
	// a silent connection to the store shows only after it.
	storeWait = time.Second
	// storeSlack is what the store may take beyond the wait.
	storeSlack = 600 * time.Millisecond
	// storePace is the least time from one call to the store to the next: while
	// many entries change, each would else come with a call of its own.
	storePace = 200 * time.Millisecond
	// copyTime bounds the reading of a whole copy.
	copyTime = 3 * time.Second
	// peerWait is how long another VM waits for a change before it answers;
	// peerSlack is what the way may take. A VM that lost its power shows only
	// after both, and others may have with it: from hurryAfter on, the age of a
	// whole wait, there is less time for each.
	peerWait   = 800 * time.Millisecond
	peerSlack  = 400 * time.Millisecond
	hurryAfter = time.Second
	hurryWait  = 250 * time.Millisecond
	hurrySlack = 250 * time.Millisecond
	// never is the age of a copy that there never was.
	never = time.Hour
)

// Store is what is asked of the platform's store.
type Store interface {
	// Range reads all entries under a prefix.
	Range(ctx context.Context, prefix string) (feed.Update, error)
	// Watch waits for changes under a prefix after a revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (feed.Update, error)
	// Reset closes idle connections.
	Reset()
	// Compacted tells whether an error of Watch means that its history is gone.
	Compacted(err error) bool
}

// Change is what became known at once.
type Change struct {
	Events []feed.Event
	// Whole is set if the events come from a whole copy.
	Whole bool
	// Age is how old the copy was before.
	Age time.Duration
	// Returned is when the store came back after an absence; 0 if none is known.
	Returned time.Duration
	From     feed.From
	// Peer is the other VM's address, if it came from one.
	Peer string
	AsOf uint64
}

// Config sets a follower.
type Config struct {
	Self  rank.VM
	Store Store
	// Prefix is what is followed.
	Prefix string
	// Seeds are the inner addresses of some VMs, which may be gone.
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	Clock      func() time.Duration
	Rand       *rand.Rand
	// Changed is told of each change, on Run's goroutine.
	Changed func(Change)
	// Switched is told when the source changes, with the error that caused it.
	Switched func(to feed.Step, age time.Duration, err error)
	// Count is told of each step; it may be nil.
	Count func(event string)
	// LinkMbps is the rate of this VM's link, in Mbit/s; 0 if it is not known. Where it is
	// set, List tells which VMs there are.
	LinkMbps float64
	List     func(ctx context.Context) ([]feed.Member, error)
	// Hinted is told of each word that another VM passes on; it must not block. Nil drops
	// them.
	Hinted func(word string)
	// Enlist writes another VM's entry and returns its lease; nil refuses.
	Enlist func(ctx context.Context, en enlist.Entry) (lease uint64, err error)
}

// Follower keeps a copy of the store.
type Follower struct {
	cfg   Config
	guide *feed.Guide
	peers *stubs.Pool[inner.Feed]
	pack  packer
	// whole packs copies for VMs that have none, and giver bounds them.
	whole copyPacker
	giver feed.Giver
	// places holds the data centre of each VM; only Run uses it.
	places map[string]string
	// tells are the calls to seeds that nobody waits for.
	tells sync.WaitGroup
	// asked is when the store was asked last.
	asked time.Duration
	// gave is the VM that gave the first copy, if one did; only Run uses it.
	gave string

	mu      sync.Mutex
	replica *feed.Replica
	absence feed.Absence
	// contact is when the store or a VM of another data centre answered last,
	// with news or without.
	contact time.Duration
	changed chan struct{}
	leaving bool
	// newPeers is a list that Run has not taken yet, asker the VM with newer news that
	// asked last.
	newPeers []rank.VM
	asker    asker
	// follows is the VM that is followed, leader the same if it is of this data centre;
	// both are empty if there is none.
	follows, leader string
	// origin is the VM that heard the store for the news that this one has.
	origin string
	cut    cutNews
	// hints are the words that this VM passes on, and hintsSeen is up to where those of
	// other VMs are known.
	hints     feed.Hints
	hintsSeen map[string]uint64
	// heard is when each VM asked this one last, or gave a sign of life.
	heard map[string]time.Duration
}

// asker is a VM that asked this one, and when its news was the store's.
type asker struct {
	addr  string
	heard time.Duration
}

// New makes a follower with an empty copy.
func New(cfg Config) *Follower {
	if cfg.Count == nil {
		cfg.Count = func(string) {}
	}
	if cfg.Hinted == nil {
		cfg.Hinted = func(string) {}
	}
	return &Follower{
		cfg:     cfg,
		guide:   feed.NewGuide(feed.GuideConfig{Self: cfg.Self, Rand: cfg.Rand}),
		peers:   newStubs(),
		replica: feed.NewReplica(feed.DefaultHistory),
		asked:   -storePace,
		changed: make(chan struct{}),
		heard:   make(map[string]time.Duration),

		hintsSeen: make(map[string]uint64),
	}
}

// SetPeers takes the other VMs.
func (fo *Follower) SetPeers(vms []rank.VM) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.newPeers = vms
}

// Leave tells those who ask that this VM is about to exit.
func (fo *Follower) Leave() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.leaving = true
	fo.wakeAll()
}

// Age is the time since the store was heard.
func (fo *Follower) Age() time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.age(fo.cfg.Clock())
}

// Silence is the time since anything was heard from beyond this VM's data
// centre: news of the store, however it came, or an answer of a VM there.
func (fo *Follower) Silence() time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.cfg.Clock() - max(fo.contact, fo.absence.Last())
}

// Touch notes that a VM of another data centre answered just now.
func (fo *Follower) Touch() {
	now := fo.cfg.Clock()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.contact = now
}

// isFar tells whether a VM is known to stand in another data centre.
func (fo *Follower) isFar(addr string) bool {
	place, ok := fo.places[addr]
	return ok && place != fo.cfg.Self.DataCentre
}

func (fo *Follower) age(now time.Duration) time.Duration {
	if !fo.absence.Ever() {
		return never
	}
	return now - fo.absence.Last()
}

// Run follows until the context ends.
func (fo *Follower) Run(ctx context.Context) {
	defer fo.peers.Close()
	defer fo.tells.Wait()
	fo.boot(ctx)
	fo.stay(ctx)
	last := feed.Step{}
	for ctx.Err() == nil {
		fo.takePeers()
		if as := fo.takenAsker(); as.addr != "" {
			fo.guide.Hint(as.addr, fo.cfg.Clock()-as.heard)
		}
		st := fo.guide.Next(fo.cfg.Clock(), fo.Age())
		if st.From != feed.FromNobody && (st.From != last.From || st.Addr != last.Addr) {
			fo.cfg.Switched(st, fo.Age(), nil)
			last = st
		}
		fo.setFollows(st)
		rp, err := fo.step(ctx, st)
		fo.guide.Heard(fo.cfg.Clock(), st, rp)
		if err != nil && ctx.Err() == nil {
			fo.cfg.Switched(st, fo.Age(), err)
			last = feed.Step{}
		}
	}
}

func (fo *Follower) takePeers() {
	fo.mu.Lock()
	vms := fo.newPeers
	fo.newPeers = nil
	if vms != nil {
		fo.keepHeard(vms)
	}
	fo.mu.Unlock()
	if vms == nil {
		return
	}
	fo.guide.SetPeers(vms)
	fo.places = make(map[string]string, len(vms))
	for _, vm := range vms {
		fo.places[vm.Addr] = vm.DataCentre
	}
}

// takenAsker is the VM with newer news that asked last; it has no address if none did
// since the last call.
func (fo *Follower) takenAsker() asker {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	as := fo.asker
	fo.asker = asker{}
	return as
}

// setFollows keeps whom this VM follows.
func (fo *Follower) setFollows(st feed.Step) {
	if st.From == feed.FromNobody {
		return
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.follows, fo.leader = st.Addr, ""
	if !fo.isFar(st.Addr) {
		fo.leader = st.Addr
	}
}

func (fo *Follower) step(ctx context.Context, st feed.Step) (feed.Report, error) {
	switch st.From {
	case feed.FromStore:
		return fo.fromStore(ctx)
	case feed.FromPeer:
		return fo.fromPeer(ctx, st.Addr)
	}
	sleep(ctx, st.Wait)
	return feed.Report{}, nil
}

func sleep(ctx context.Context, wait time.Duration) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}

func (fo *Follower) fromStore(ctx context.Context) (feed.Report, error) {
	if wait := fo.asked + storePace - fo.cfg.Clock(); wait > 0 {
		sleep(ctx, wait)
	}
	fo.countStore()
	if err := fo.takeStore(fo.askStore(ctx)); err != nil {
		return feed.Report{Failed: true}, err
	}
	return feed.Report{}, nil
}

// countStore notes that the store is asked.
func (fo *Follower) countStore() {
	fo.asked = fo.cfg.Clock()
	fo.cfg.Count("store")
}

// takeStore takes in what the store answered.
func (fo *Follower) takeStore(up feed.Update, err error) error {
	if err != nil {
		fo.cfg.Count("storeFailed")
		fo.noteFailed()
		// The connection is in doubt: a new one may work.
		fo.cfg.Store.Reset()
		return err
	}
	fo.Touch()
	fo.take(up, source{from: feed.FromStore, origin: fo.cfg.Self.Addr, at: fo.cfg.Clock()})
	return nil
}

func (fo *Follower) askStore(ctx context.Context) (feed.Update, error) {
	fo.mu.Lock()
	known, after := fo.replica.Known(), fo.replica.AsOf()
	fo.mu.Unlock()
	if known {
		bounded, cancel := context.WithTimeout(ctx, storeWait+storeSlack)
		defer cancel()
		up, err := fo.cfg.Store.Watch(bounded, fo.cfg.Prefix, after, storeWait)
		if err == nil || !fo.cfg.Store.Compacted(err) {
			return up, err
		}
		fo.cfg.Count("compacted")
	}
	bounded, cancel := context.WithTimeout(ctx, copyTime)
	defer cancel()
	return fo.cfg.Store.Range(bounded, fo.cfg.Prefix)
}

// errNoCopy tells that a peer knows nothing yet, or gives no copy now.
var errNoCopy = errors.New("it has no copy")

func (fo *Follower) fromPeer(ctx context.Context, addr string) (feed.Report, error) {
	fo.cfg.Count("peer")
	fo.mu.Lock()
	after := fo.replica.AsOf()
	fo.mu.Unlock()
	wait, slack := peerWait, peerSlack
	if fo.Age() > hurryAfter {
		wait, slack = hurryWait, hurrySlack
	}
	bounded, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	an, err := fo.ask(bounded, addr, after, wait)
	if err == nil && fo.isFar(addr) {
		fo.Touch()
	}
	if err == nil && an.update.AsOf == 0 {
		fo.cfg.Count("peerEmpty")
		return feed.Report{Empty: true, Age: never, Others: an.others}, errors.Wrap(errNoCopy, addr)
	}
	if err != nil {
		fo.cfg.Count("peerFailed")
		fo.peers.Drop(addr)
		return feed.Report{Failed: true, Refused: errors.Is(err, syscall.ECONNREFUSED), Age: never}, errors.Wrap(err, addr)
	}
	now := fo.cfg.Clock()
	fo.take(an.update, source{from: feed.FromPeer, peer: addr, origin: an.origin, at: now - an.age, returned: an.returned(now)})
	if an.leaving {
		return feed.Report{Age: never}, nil
	}
	self := fo.cfg.Self.Addr
	return feed.Report{Age: an.age, Own: an.origin == self, Follows: an.follows == self}, nil
}

func (fo *Follower) noteFailed() {
	now := fo.cfg.Clock()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.absence.Failed(now)
}

// source is where an update comes from.
type source struct {
	from feed.From
	peer string
	// origin is the VM that heard the store.
	origin string
	// at is when the store was as the update shows it.
	at time.Duration
	// returned is when the store came back, as the other VM knows; 0 if it does
	// not.
	returned time.Duration
}

// take applies an update.
func (fo *Follower) take(up feed.Update, so source) {
	now := fo.cfg.Clock()
	fo.mu.Lock()
	ch := Change{Whole: up.Whole, Age: fo.age(now), From: so.from, Peer: so.peer, AsOf: up.AsOf}
	before := fo.replica.AsOf()
	ch.Events = fo.replica.Take(up)
	// What a peer has not seen yet it cannot vouch for.
	if fo.replica.Known() && up.AsOf >= before {
		if so.at > fo.absence.Last() {
			fo.origin = so.origin
		}
		fo.absence.Heard(so.at)
	}
	fo.absence.Told(so.returned)
	ch.Returned = fo.absence.Returned()
	fo.wakeAll()
	fo.mu.Unlock()
	// That old news became fresh is told too: what lapses next may have been due
	// while the store was away.
	returned := ch.Age > feed.StaleAfter && ch.Age < never && fo.Age() < ch.Age
	if len(ch.Events) > 0 || returned {
		fo.cfg.Changed(ch)
	}
}

// wakeAll lets those who wait look again, for news or for the store having been
// heard. The caller holds the lock.
func (fo *Follower) wakeAll() {
	close(fo.changed)
	fo.changed = make(chan struct{})
}
