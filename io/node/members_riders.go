package node

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"laburnumvane/core/member"
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
)

// piggybackBytes bounds the data piggybacked on one heartbeat or reply, besides the membership.
// A VM sends about eight of these messages a second, so this is 1.5 kB/s of the 8 kB/s that a VM
// may spend on control traffic.
const piggybackBytes = 192

// piggyback is the data piggybacked on a heartbeat or its reply.
type piggyback struct {
	signs           []*inner.Sign
	demands         []*inner.Demand
	hints           []*inner.Hint
	digest, highest uint64
}

// recipient is the VM that a heartbeat or reply is sent to.
type recipient struct {
	addr, dataCentre string
	// vms is the number of known VMs. It determines how often an item is repeated so that
	// it reaches all of them.
	vms int
}

// piggybacker adds data to heartbeats and processes the data of other VMs. It is called on the
// control goroutine only. To have data sent at once instead of with the next heartbeat, it calls
// members.sendNow.
type piggybacker interface {
	// outgoing adds data for a VM to pb, at most room bytes, and returns the number of
	// bytes used.
	outgoing(to recipient, room int, pb *piggyback) int
	// incoming processes the data received from another VM.
	incoming(from *inner.VM, pb piggyback)
}

// addPiggybacker adds a piggybacker. Those added first are offered the space first.
func (ms *members) addPiggybacker(pg piggybacker) {
	ms.piggybackers = append(ms.piggybackers, pg)
}

// sendNow has heartbeats sent at once. The state machine limits this to a few each second.
func (ms *members) sendNow() {
	ms.step(member.SendNow{})
}

// collect returns the data of all piggybackers for a VM.
func (ms *members) collect(addr, dataCentre string) piggyback {
	var pb piggyback
	to := recipient{addr: addr, dataCentre: dataCentre, vms: len(ms.holders())}
	room := piggybackBytes
	for _, pg := range ms.piggybackers {
		room -= pg.outgoing(to, room, &pb)
	}
	return pb
}

func (ms *members) attach(addr, dataCentre string, rq *inner.BeatRequest) {
	pb := ms.collect(addr, dataCentre)
	rq.Signs, rq.Demands, rq.Hints, rq.Digest, rq.Highest = pb.signs, pb.demands, pb.hints, pb.digest, pb.highest
}

func (ms *members) attachReply(to *inner.VM, rp *inner.BeatReply) {
	pb := ms.collect(to.GetAddr(), to.GetDataCentre())
	rp.Signs, rp.Demands, rp.Hints, rp.Digest, rp.Highest = pb.signs, pb.demands, pb.hints, pb.digest, pb.highest
}

func (ms *members) deliver(from *inner.VM, pb piggyback) {
	for _, pg := range ms.piggybackers {
		pg.incoming(from, pb)
	}
}

// piggybackCarrier has the piggybacked fields that BeatRequest and BeatReply share.
type piggybackCarrier interface {
	GetSigns() []*inner.Sign
	GetDemands() []*inner.Demand
	GetHints() []*inner.Hint
	GetDigest() uint64
	GetHighest() uint64
}

func piggybackOf(pc piggybackCarrier) piggyback {
	return piggyback{
		signs:   pc.GetSigns(),
		demands: pc.GetDemands(),
		hints:   pc.GetHints(),
		digest:  pc.GetDigest(),
		highest: pc.GetHighest(),
	}
}

// digests piggybacks the digest of the configuration, by which VMs notice a lost push.
type digests struct {
	nd *Node
}

const digestBytes = 22

func (dg digests) outgoing(_ recipient, _ int, pb *piggyback) int {
	own := dg.nd.configDigest()
	pb.digest, pb.highest = own.Hash, own.Sum
	return digestBytes
}

func (dg digests) incoming(from *inner.VM, pb piggyback) {
	own := spread.Digest{Hash: pb.digest, Sum: pb.highest}
	if own != (spread.Digest{}) {
		dg.nd.receiveDigest(from, pb.digest, pb.highest)
	}
}

// maxQueuedSigns bounds the signs that are queued for the other VMs.
const maxQueuedSigns = 1024

// signs disseminates signs: observations of VMs about upstream servers. Each VM passes on a sign
// that is new to it.
type signs struct {
	ms    *members
	queue *member.Queue[string, *inner.Sign]
	// known holds the newest sign of each server, so that each sign is processed and passed
	// on only once.
	known map[string]*inner.Sign
	// received is called with each new sign of another VM.
	received func(*inner.Sign)
}

func newSigns(ms *members, received func(*inner.Sign)) *signs {
	return &signs{
		ms:       ms,
		queue:    member.NewQueue[string, *inner.Sign](maxQueuedSigns),
		known:    make(map[string]*inner.Sign),
		received: received,
	}
}

// announce disseminates a sign that this VM observed itself.
func (sg *signs) announce(sn *inner.Sign) {
	if sg.record(sn) {
		sg.ms.sendNow()
	}
}

// record stores and queues a sign. It returns false if the sign is not new.
func (sg *signs) record(sn *inner.Sign) bool {
	if old, ok := sg.known[sn.GetServer()]; ok && !supersedes(sn, old) {
		return false
	}
	sg.known[sn.GetServer()] = sn
	if sg.queue.Put(sn.GetServer(), sn) {
		sg.ms.ct.nd.meter.Count(meter.Member, "signDropped")
	}
	return true
}

// supersedes reports whether a sign replaces the known one of the same server: it has a higher
// incarnation, or the same incarnation and a kind with a lower number (leaving is the lowest).
// Without this order two kinds of one incarnation would replace each other on every VM for ever.
func supersedes(sn, old *inner.Sign) bool {
	if sn.GetIncarnation() != old.GetIncarnation() {
		return sn.GetIncarnation() > old.GetIncarnation()
	}
	return sn.GetKind() < old.GetKind()
}

func (sg *signs) outgoing(_ recipient, room int, pb *piggyback) int {
	used := 0
	sg.queue.Peek(func(sn *inner.Sign) {
		size := proto.Size(sn) + fieldBytes
		if used+size > room {
			return
		}
		used += size
		pb.signs = append(pb.signs, sn)
	})
	return used
}

// markDelivered counts the signs on a heartbeat that was answered as sent once. Signs must not
// be counted when they are sent: where heartbeats time out, as on VMs short of processor time,
// the repetitions were used up by messages that were never processed, and some VMs never
// received the signs. Replies to heartbeats carry signs too, but are not acknowledged, so their
// signs are not counted.
func (sg *signs) markDelivered(sent []*inner.Sign) {
	vms := len(sg.ms.holders())
	sg.queue.MarkSent(member.Retransmits(vms), func(sn *inner.Sign) bool { return slices.Contains(sent, sn) })
}

// fieldBytes is the encoded size of the tag and length of a short embedded message.
const fieldBytes = 2

func (sg *signs) incoming(_ *inner.VM, pb piggyback) {
	for _, sn := range pb.signs {
		if sg.record(sn) {
			sg.received(sn)
			sg.ms.sendNow()
		}
	}
}
