package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumvane/core/member"
	"laburnumvane/core/share"
	"laburnumvane/core/team"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

const (
	// shareEvery is the time between two demands told, and between two times
	// that the parts are worked out.
	shareEvery = 2 * time.Second
	// shareWay is what a demand takes to reach all VMs: a beat to a relay, one
	// of a relay to another data centre, and one there.
	shareWay = 4 * time.Second
	// shareWindow adds seven seconds, so that two demands in a row may be lost.
	shareWindow = shareWay + 7*time.Second
	// shareForget is when the part of a silent VM is divided.
	shareForget = 30 * time.Second
	// listFresh is how old the VM list may be to tell that a VM no longer is.
	listFresh = 30 * time.Second
	// demandRoom bounds the demands that wait to be passed on.
	demandRoom = 4096
)

// shares holds the teams to their limits over all VMs, on the control goroutine.
type shares struct {
	ct      *control
	machine *share.Machine
	queue   *member.Queue[demandKey, *inner.Demand]
	newest  map[demandKey]uint64
	timer   *time.Timer
	// listed is the platform's last list, and when it came.
	listed   map[string]bool
	listedAt time.Duration
}

type demandKey struct {
	team string
	vm   share.VM
}

func newShares(ct *control) *shares {
	self := share.VM{Addr: ct.nd.addr, Incarnation: ct.nd.set.Incarnation}
	return &shares{
		ct:      ct,
		machine: share.New(share.Config{Self: self, Window: shareWindow, Way: shareWay, Forget: shareForget}),
		queue:   member.NewQueue[demandKey, *inner.Demand](demandRoom),
		newest:  make(map[demandKey]uint64),
		timer:   time.NewTimer(shareEvery),
	}
}

func (sh *shares) now() time.Duration {
	return time.Since(sh.ct.nd.started)
}

// configured puts a team's limits in force.
func (sh *shares) configured(doc team.Document) {
	bucket := sh.machine.Limit(sh.now(), doc.Team, share.Limit{
		Rate:       doc.Limits.SearchesPerSecond,
		Concurrent: doc.Limits.Concurrent,
	})
	sh.ct.nd.buckets.Store(doc.Team, bucket)
}

// bucket is what holds a team to this VM's part of its limits.
func (nd *Node) bucket(name string) *share.Bucket {
	bucket, ok := nd.buckets.Load(name)
	if !ok {
		return nil
	}
	return bucket.(*share.Bucket)
}

// TeamShare is this VM's part of a team's limits, 0 to 1, and whether it holds
// it, so that it does not follow a rising demand.
func (nd *Node) TeamShare(name string) (part float64, held bool) {
	nd.ask(func(ct *control) {
		part = ct.shares.machine.Share(name)
		held = ct.shares.machine.Held(name)
	})
	return part, held
}

// vmsListed takes the platform's list.
func (sh *shares) vmsListed(vms []wire.VM) {
	sh.listed = make(map[string]bool, len(vms))
	for _, vm := range vms {
		sh.listed[vm.Addr] = true
	}
	sh.listedAt = sh.now()
}

// tick works out the parts and tells this VM's demand.
func (sh *shares) tick() {
	now := sh.now()
	others := sh.others()
	sh.machine.Members(now, others)
	sh.forget(others)
	for _, de := range sh.machine.Outgoing(now) {
		sh.pass(demandOf(de))
	}
	sh.machine.Step(now)
	sh.timer.Reset(shareEvery)
}

// forget drops what was heard of VMs that are no more.
func (sh *shares) forget(others []share.VM) {
	known := map[share.VM]bool{{Addr: sh.ct.nd.addr, Incarnation: sh.ct.nd.set.Incarnation}: true}
	for _, vm := range others {
		known[vm] = true
	}
	for key := range sh.newest {
		if !known[key.vm] {
			delete(sh.newest, key)
			sh.queue.Drop(key)
		}
	}
}

// others are the VMs that may hold a part of the limits. One that is gone may
// only be cut off and still spend its part; it is forgotten once it has said
// that it leaves, or once a fresh list no longer has it. A VM that is cut off
// itself gets no fresh list, and so never takes itself for the only one.
func (sh *shares) others() []share.VM {
	fresh := sh.listed != nil && sh.now() < sh.listedAt+listFresh
	var out []share.VM
	for _, mb := range sh.ct.members.ma.Members() {
		if mb.Gone && (mb.Leaving || fresh && !sh.listed[mb.Addr]) {
			continue
		}
		if mb.Addr != sh.ct.nd.addr {
			out = append(out, share.VM{Addr: mb.Addr, Incarnation: mb.Incarnation})
		}
	}
	return out
}

// pass queues a demand for the others.
func (sh *shares) pass(de *inner.Demand) {
	key := keyOf(de)
	sh.newest[key] = de.GetSequence()
	if sh.queue.Put(key, de) {
		sh.ct.nd.meter.Count(meter.Member, "demandDropped")
	}
}

func (sh *shares) outgoing(to recipient, room int, cg *cargo) int {
	used := 0
	sh.queue.Take(member.Retransmits(to.vms), func(de *inner.Demand) bool {
		size := proto.Size(de) + fieldBytes
		if used+size > room {
			return false
		}
		used += size
		cg.demands = append(cg.demands, de)
		return true
	})
	return used
}

func (sh *shares) incoming(_ *inner.VM, cg cargo) {
	for _, de := range cg.demands {
		key := keyOf(de)
		if key.vm.Addr == sh.ct.nd.addr || de.GetSequence() <= sh.newest[key] {
			continue
		}
		sh.machine.Incoming(sh.now(), []share.Demand{{
			Team:     de.GetTeam(),
			Rate:     de.GetRate(),
			Share:    de.GetShare(),
			Held:     de.GetHeld(),
			VM:       key.vm,
			Sequence: de.GetSequence(),
		}})
		sh.pass(de)
	}
}

func keyOf(de *inner.Demand) demandKey {
	return demandKey{
		team: de.GetTeam(),
		vm:   share.VM{Addr: de.GetVm().GetAddr(), Incarnation: de.GetVm().GetIncarnation()},
	}
}

func demandOf(de share.Demand) *inner.Demand {
	return &inner.Demand{
		Team:     de.Team,
		Rate:     de.Rate,
		Share:    de.Share,
		Held:     de.Held,
		Vm:       &inner.VM{Addr: de.VM.Addr, Incarnation: de.VM.Incarnation},
		Sequence: de.Sequence,
	}
}
