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
	// shareInterval is the interval at which a VM announces its demand and recomputes its
	// shares.
	shareInterval = 2 * time.Second
	// maxDemandDelay is the time that a demand needs to reach all VMs: a heartbeat to a relay, one
	// from the relay to another data centre, and one within that data centre.
	maxDemandDelay = 4 * time.Second
	// shareWindow adds 7 s, so that two consecutive demands may be lost.
	shareWindow = maxDemandDelay + 7*time.Second
	// shareForgetAfter is the time after which the share of a silent VM is divided among the
	// others.
	shareForgetAfter = 30 * time.Second
	// maxListAge is the maximum age of the VM list at which a VM's absence from it counts.
	maxListAge = 30 * time.Second
	// maxQueuedDemands bounds the demands that are queued for the other VMs.
	maxQueuedDemands = 4096
)

// shares divides the teams' limits among all VMs. It runs on the control goroutine.
type shares struct {
	ct             *control
	machine        *share.Machine
	queue          *member.Queue[demandKey, *inner.Demand]
	newestSequence map[demandKey]uint64
	timer          *time.Timer
	// listed has the addresses on the platform's last VM list, received at listedAt.
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
		ct:             ct,
		machine:        share.New(share.Config{Self: self, Window: shareWindow, MaxDelay: maxDemandDelay, ForgetAfter: shareForgetAfter}),
		queue:          member.NewQueue[demandKey, *inner.Demand](maxQueuedDemands),
		newestSequence: make(map[demandKey]uint64),
		timer:          time.NewTimer(shareInterval),
	}
}

func (sh *shares) now() time.Duration {
	return time.Since(sh.ct.nd.started)
}

// setLimit puts a team's limits in force.
func (sh *shares) setLimit(doc team.Document) {
	bucket := sh.machine.Limit(sh.now(), doc.Team, share.Limit{
		Rate:       doc.Limits.SearchesPerSecond,
		Concurrent: doc.Limits.Concurrent,
	})
	sh.ct.nd.buckets.Store(doc.Team, bucket)
}

// bucket returns the bucket that enforces this VM's share of a team's limits, or nil.
func (nd *Node) bucket(name string) *share.Bucket {
	bucket, ok := nd.buckets.Load(name)
	if !ok {
		return nil
	}
	return bucket.(*share.Bucket)
}

// TeamShare returns this VM's share of a team's limits, 0 to 1, and whether the share is held,
// so that it does not follow rising demand.
func (nd *Node) TeamShare(name string) (part float64, held bool) {
	nd.onControl(func(ct *control) {
		part = ct.shares.machine.Share(name)
		held = ct.shares.machine.Held(name)
	})
	return part, held
}

// setVMList stores the platform's VM list.
func (sh *shares) setVMList(vms []wire.VM) {
	sh.listed = make(map[string]bool, len(vms))
	for _, vm := range vms {
		sh.listed[vm.Addr] = true
	}
	sh.listedAt = sh.now()
}

// tick recomputes the shares and announces this VM's demand.
func (sh *shares) tick() {
	now := sh.now()
	others := sh.otherVMs()
	sh.machine.Members(now, others)
	sh.forgetGone(others)
	for _, de := range sh.machine.Outgoing(now) {
		sh.queueDemand(demandToWire(de))
	}
	sh.machine.Step(now)
	sh.timer.Reset(shareInterval)
}

// forgetGone drops the demands of VMs that no longer exist.
func (sh *shares) forgetGone(others []share.VM) {
	known := map[share.VM]bool{{Addr: sh.ct.nd.addr, Incarnation: sh.ct.nd.set.Incarnation}: true}
	for _, vm := range others {
		known[vm] = true
	}
	for key := range sh.newestSequence {
		if !known[key.vm] {
			delete(sh.newestSequence, key)
			sh.queue.Drop(key)
		}
	}
}

// otherVMs returns the other VMs that may hold a share of the limits. A VM that is gone may only
// be partitioned and still use its share, so it counts until it has announced that it leaves or
// a recent VM list no longer has it. A partitioned VM receives no recent list, so it never
// assumes that it is the only VM.
func (sh *shares) otherVMs() []share.VM {
	fresh := sh.listed != nil && sh.now() < sh.listedAt+maxListAge
	var out []share.VM
	for _, mb := range sh.ct.members.machine.Members() {
		if mb.Gone && (mb.Leaving || fresh && !sh.listed[mb.Addr]) {
			continue
		}
		if mb.Addr != sh.ct.nd.addr {
			out = append(out, share.VM{Addr: mb.Addr, Incarnation: mb.Incarnation})
		}
	}
	return out
}

// queueDemand queues a demand for the other VMs.
func (sh *shares) queueDemand(de *inner.Demand) {
	key := demandKeyOf(de)
	sh.newestSequence[key] = de.GetSequence()
	if sh.queue.Put(key, de) {
		sh.ct.nd.meter.Count(meter.Member, "demandDropped")
	}
}

func (sh *shares) outgoing(to recipient, room int, pb *piggyback) int {
	used := 0
	sh.queue.Take(member.Retransmits(to.vms), func(de *inner.Demand) bool {
		size := proto.Size(de) + fieldBytes
		if used+size > room {
			return false
		}
		used += size
		pb.demands = append(pb.demands, de)
		return true
	})
	return used
}

func (sh *shares) incoming(_ *inner.VM, pb piggyback) {
	for _, de := range pb.demands {
		key := demandKeyOf(de)
		if key.vm.Addr == sh.ct.nd.addr || de.GetSequence() <= sh.newestSequence[key] {
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
		sh.queueDemand(de)
	}
}

func demandKeyOf(de *inner.Demand) demandKey {
	return demandKey{
		team: de.GetTeam(),
		vm:   share.VM{Addr: de.GetVm().GetAddr(), Incarnation: de.GetVm().GetIncarnation()},
	}
}

func demandToWire(de share.Demand) *inner.Demand {
	return &inner.Demand{
		Team:     de.Team,
		Rate:     de.Rate,
		Share:    de.Share,
		Held:     de.Held,
		Vm:       &inner.VM{Addr: de.VM.Addr, Incarnation: de.VM.Incarnation},
		Sequence: de.Sequence,
	}
}
