package follow

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/mirror"
)

// noteStoreCall records a call to the store that begins after a wait.
func (fo *Follower) noteStoreCall(wait time.Duration) {
	fo.storeCalledAt = fo.cfg.Clock() + wait
	fo.cfg.Count("store")
}

// applyStore applies the result of a call to the store.
func (fo *Follower) applyStore(re storeResult) error {
	if re.err != nil {
		fo.cfg.Count("storeFailed")
		fo.noteFailed(re.at)
		// The connection may be broken; a new one may work.
		fo.cfg.Store.Reset()
		return re.err
	}
	fo.RecordRemoteAnswer()
	fo.apply(re.update, source{from: mirror.FromStore, origin: fo.cfg.Self.Addr, currentAt: re.at})
	return nil
}

func (fo *Follower) callStore(ctx context.Context) (mirror.Update, error) {
	fo.mu.Lock()
	known, after := fo.replica.Loaded(), fo.replica.AsOf()
	fo.mu.Unlock()
	if known {
		bounded, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		defer cancel()
		up, err := fo.cfg.Store.Watch(bounded, fo.cfg.Prefix, after, watchWait)
		if err == nil || !fo.cfg.Store.Compacted(err) {
			return up, err
		}
		fo.cfg.Count("compacted")
	}
	bounded, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return fo.cfg.Store.Range(bounded, fo.cfg.Prefix)
}

// errNoCopy means that a peer has no copy yet, or does not give one now.
var errNoCopy = errors.New("VM gave no copy of the store")

func (fo *Follower) updateFromPeer(ctx context.Context, addr string) (mirror.Outcome, error) {
	fo.cfg.Count("peer")
	fo.mu.Lock()
	after := fo.replica.AsOf()
	fo.mu.Unlock()
	wait, slack := peerWait, peerSlack
	if fo.Age() > shortWaitAfter {
		wait, slack = shortPeerWait, shortPeerSlack
	}
	bounded, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	an, err := fo.callPeer(bounded, addr, after, wait)
	if err == nil && fo.isRemote(addr) {
		fo.RecordRemoteAnswer()
	}
	if err == nil && an.update.AsOf == 0 {
		fo.cfg.Count("peerEmpty")
		return mirror.Outcome{Empty: true, Age: unknownAge, Holders: an.others}, errors.Wrap(errNoCopy, addr)
	}
	if err != nil {
		fo.cfg.Count("peerFailed")
		fo.peers.Remove(addr)
		return mirror.Outcome{Failed: true, Refused: errors.Is(err, syscall.ECONNREFUSED), Age: unknownAge}, errors.Wrap(err, addr)
	}
	now := fo.cfg.Clock()
	fo.apply(an.update, source{from: mirror.FromPeer, peer: addr, origin: an.origin, currentAt: now - an.age, returned: an.returnedAt(now)})
	if an.leaving {
		return mirror.Outcome{Age: unknownAge}, nil
	}
	self := fo.cfg.Self.Addr
	return mirror.Outcome{Age: an.age, OwnData: an.origin == self, Follows: an.follows == self}, nil
}

// noteFailed records that a call to the store failed.
func (fo *Follower) noteFailed(at time.Duration) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.outage.RecordFailure(at)
}

// source describes where an update comes from.
type source struct {
	from mirror.From
	peer string
	// origin is the VM that got the update from the store.
	origin string
	// currentAt is when the update was current with the store.
	currentAt time.Duration
	// returned is when the store was available again after an outage, as far as the other VM
	// knows; 0 if it knows of none.
	returned time.Duration
}

// apply applies an update to the copy.
func (fo *Follower) apply(up mirror.Update, so source) {
	now := fo.cfg.Clock()
	fo.mu.Lock()
	ch := Change{Whole: up.Full, Age: fo.age(now), From: so.from, Peer: so.peer, AsOf: up.AsOf}
	before := fo.replica.AsOf()
	ch.Events = fo.replica.Apply(up)
	// An update that is older than this VM's copy does not show that the copy is current.
	if fo.replica.Loaded() && up.AsOf >= before {
		if so.currentAt > fo.outage.LastContact() {
			fo.origin = so.origin
		}
		fo.outage.RecordContact(so.currentAt)
	}
	fo.outage.RecordRecovery(so.returned)
	ch.Returned = fo.outage.Recovered()
	fo.wakeAll()
	contact := int64(noContact)
	if fo.outage.Contacted() {
		contact = int64(fo.outage.LastContact())
	}
	fo.mu.Unlock()
	// OnChange is also called when an old copy becomes current again without changes: the next
	// leases to expire may have been due while the store was unavailable.
	returned := ch.Age > mirror.StaleAfter && ch.Age < unknownAge && fo.Age() < ch.Age
	if len(ch.Events) > 0 || returned {
		fo.cfg.OnChange(ch)
	}
	fo.applied.Store(contact)
}
