package node

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"laburnumvane/core/member"
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
)

// riderBytes bounds what rides on one message beside the membership. A VM sends
// about eight messages a second, so this is 1.5 kB/s of its 8.
const riderBytes = 192

// cargo is what rides on a beat or its answer.
type cargo struct {
	signs           []*inner.Sign
	demands         []*inner.Demand
	hints           []*inner.Hint
	digest, highest uint64
}

// recipient is whom a beat goes to.
type recipient struct {
	addr, dataCentre string
	// vms is the number of VMs known, by which the number of repetitions of
	// what shall reach all is measured.
	vms int
}

// rider is something that rides on beats. It is called on the control goroutine
// only. To have what it carries sent at once instead of with the next beat it
// calls members.kick.
type rider interface {
	// outgoing adds to cg what a VM shall be told, at most room bytes, and
	// returns the bytes that it used.
	outgoing(to recipient, room int, cg *cargo) int
	// incoming takes in what another VM told.
	incoming(from *inner.VM, cg cargo)
}

// board adds a rider; those added first are served first.
func (ms *members) board(rd rider) {
	ms.riders = append(ms.riders, rd)
}

// kick asks for beats at once, within a bound of a few each second.
func (ms *members) kick() {
	ms.step(member.Kick{})
}

// collect asks the riders what a VM shall be told.
func (ms *members) collect(addr, dataCentre string) cargo {
	var cg cargo
	to := recipient{addr: addr, dataCentre: dataCentre, vms: len(ms.holders())}
	room := riderBytes
	for _, rd := range ms.riders {
		room -= rd.outgoing(to, room, &cg)
	}
	return cg
}

func (ms *members) load(addr, dataCentre string, rq *inner.BeatRequest) {
	cg := ms.collect(addr, dataCentre)
	rq.Signs, rq.Demands, rq.Hints, rq.Digest, rq.Highest = cg.signs, cg.demands, cg.hints, cg.digest, cg.highest
}

func (ms *members) loadReply(to *inner.VM, rp *inner.BeatReply) {
	cg := ms.collect(to.GetAddr(), to.GetDataCentre())
	rp.Signs, rp.Demands, rp.Hints, rp.Digest, rp.Highest = cg.signs, cg.demands, cg.hints, cg.digest, cg.highest
}

func (ms *members) unload(from *inner.VM, cg cargo) {
	for _, rd := range ms.riders {
		rd.incoming(from, cg)
	}
}

// carrier is what BeatRequest and BeatReply have in common for riders.
type carrier interface {
	GetSigns() []*inner.Sign
	GetDemands() []*inner.Demand
	GetHints() []*inner.Hint
	GetDigest() uint64
	GetHighest() uint64
}

func cargoOf(cr carrier) cargo {
	return cargo{
		signs:   cr.GetSigns(),
		demands: cr.GetDemands(),
		hints:   cr.GetHints(),
		digest:  cr.GetDigest(),
		highest: cr.GetHighest(),
	}
}

// digests carries the digest of the configuration, by which a lost push is
// noticed.
type digests struct {
	nd *Node
}

const digestBytes = 22

func (dg digests) outgoing(_ recipient, _ int, cg *cargo) int {
	own := dg.nd.configDigest()
	cg.digest, cg.highest = own.Hash, own.Sum
	return digestBytes
}

func (dg digests) incoming(from *inner.VM, cg cargo) {
	own := spread.Digest{Hash: cg.digest, Sum: cg.highest}
	if own != (spread.Digest{}) {
		dg.nd.digestSeen(from, cg.digest, cg.highest)
	}
}

// signRoom bounds the signs that wait to be spread.
const signRoom = 1024

// signs carries what VMs find out about upstream servers. A sign is passed on by
// each VM that it is new to.
type signs struct {
	ms    *members
	queue *member.Queue[string, *inner.Sign]
	// known holds the newest sign of each server, so that it is told and
	// passed on once.
	known map[string]*inner.Sign
	// heard is called with each sign of another VM that is new here.
	heard func(*inner.Sign)
}

func newSigns(ms *members, heard func(*inner.Sign)) *signs {
	return &signs{
		ms:    ms,
		queue: member.NewQueue[string, *inner.Sign](signRoom),
		known: make(map[string]*inner.Sign),
		heard: heard,
	}
}

// tell spreads a sign that this VM saw itself.
func (sg *signs) tell(sn *inner.Sign) {
	if sg.note(sn) {
		sg.ms.kick()
	}
}

// note keeps a sign and queues it; false if it says nothing new.
func (sg *signs) note(sn *inner.Sign) bool {
	if old, ok := sg.known[sn.GetServer()]; ok && !stronger(sn, old) {
		return false
	}
	sg.known[sn.GetServer()] = sn
	if sg.queue.Put(sn.GetServer(), sn) {
		sg.ms.ct.nd.meter.Count(meter.Member, "signDropped")
	}
	return true
}

// stronger tells whether a sign outdoes the one known of the same server: by its
// incarnation, or by a kind of a lower number, leaving being the lowest. Without
// an order two kinds of one incarnation would replace each other at every VM in
// turn, for ever.
func stronger(sn, old *inner.Sign) bool {
	if sn.GetIncarnation() != old.GetIncarnation() {
		return sn.GetIncarnation() > old.GetIncarnation()
	}
	return sn.GetKind() < old.GetKind()
}

func (sg *signs) outgoing(_ recipient, room int, cg *cargo) int {
	used := 0
	sg.queue.Peek(func(sn *inner.Sign) {
		size := proto.Size(sn) + fieldBytes
		if used+size > room {
			return
		}
		used += size
		cg.signs = append(cg.signs, sn)
	})
	return used
}

// delivered counts the signs on a beat that was answered. Only those count: where
// beats time out, as on VMs short of processor time, signs counted when sent were
// spent on messages that nobody read, and some VMs never heard them. Answers to
// beats carry signs too but nothing confirms those, so they are not counted.
func (sg *signs) delivered(sent []*inner.Sign) {
	vms := len(sg.ms.holders())
	sg.queue.Sent(member.Retransmits(vms), func(sn *inner.Sign) bool { return slices.Contains(sent, sn) })
}

// fieldBytes is what the tag and length of a short embedded message take.
const fieldBytes = 2

func (sg *signs) incoming(_ *inner.VM, cg cargo) {
	for _, sn := range cg.signs {
		if sg.note(sn) {
			sg.heard(sn)
			sg.ms.kick()
		}
	}
}
