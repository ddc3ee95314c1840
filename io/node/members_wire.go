package node

import (
	"time"

	"laburnumvane/core/member"
	"laburnumvane/io/inner"
)

// Bits of inner.Member's state.
const (
	stateLeaving = 1
	stateGone    = 2
)

func vmOf(vm member.VM) *inner.VM {
	return &inner.VM{Addr: vm.Addr, DataCentre: vm.DataCentre, Region: vm.Region, Incarnation: vm.Incarnation}
}

func vmIn(vm *inner.VM) member.VM {
	return member.VM{Addr: vm.GetAddr(), DataCentre: vm.GetDataCentre(), Region: vm.GetRegion(), Incarnation: vm.GetIncarnation()}
}

func memberOut(mb member.Member) *inner.Member {
	state := uint32(0)
	if mb.Leaving {
		state |= stateLeaving
	}
	if mb.Gone {
		state |= stateGone
	}
	return &inner.Member{Vm: vmOf(mb.VM), State: state, Heartbeat: uint64(mb.Count)}
}

func memberIn(mb *inner.Member) member.Member {
	return member.Member{
		VM:      vmIn(mb.GetVm()),
		Count:   uint32(mb.GetHeartbeat()),
		Leaving: mb.GetState()&stateLeaving != 0,
		Gone:    mb.GetState()&stateGone != 0,
	}
}

func membersOut(mbs []member.Member) []*inner.Member {
	out := make([]*inner.Member, 0, len(mbs))
	for _, mb := range mbs {
		out = append(out, memberOut(mb))
	}
	return out
}

func membersIn(mbs []*inner.Member) []member.Member {
	out := make([]member.Member, 0, len(mbs))
	for _, mb := range mbs {
		out = append(out, memberIn(mb))
	}
	return out
}

func placeOut(pl member.Place) *inner.Place {
	if pl.DataCentre == "" {
		return nil
	}
	return &inner.Place{DataCentre: pl.DataCentre, After: pl.After}
}

func placeIn(pl *inner.Place) member.Place {
	return member.Place{DataCentre: pl.GetDataCentre(), After: pl.GetAfter()}
}

func linkOut(li member.Link) *inner.Link {
	if li.DataCentre == "" {
		return nil
	}
	out := &inner.Link{DataCentre: li.DataCentre, Digest: li.Digest}
	if li.Silent >= 0 {
		out.SilentMs = li.Silent.Milliseconds() + 1
	}
	return out
}

func linkIn(li *inner.Link) member.Link {
	return member.Link{
		DataCentre: li.GetDataCentre(),
		Digest:     li.GetDigest(),
		Silent:     time.Duration(li.GetSilentMs()-1) * time.Millisecond,
	}
}

func requestOf(mg member.Message) *inner.BeatRequest {
	return &inner.BeatRequest{
		Version: inner.Version,
		From:    vmOf(mg.From.VM),
		Leaving: mg.From.Leaving,
		Count:   uint64(mg.From.Count),
		Joining: mg.Joining,
		Members: membersOut(mg.Members),
		Want:    placeOut(mg.Want),
		Next:    placeOut(mg.Next),
		Fleet:   mg.Digest,
		Other:   linkOut(mg.Other),
	}
}

func replyOf(mg member.Message) *inner.BeatReply {
	return &inner.BeatReply{
		Version: inner.Version,
		From:    vmOf(mg.From.VM),
		Leaving: mg.From.Leaving,
		Count:   uint64(mg.From.Count),
		Joining: mg.Joining,
		Members: membersOut(mg.Members),
		Want:    placeOut(mg.Want),
		Next:    placeOut(mg.Next),
		Fleet:   mg.Digest,
		Other:   linkOut(mg.Other),
	}
}

// beat is what BeatRequest and BeatReply have in common.
type beat interface {
	GetFrom() *inner.VM
	GetLeaving() bool
	GetCount() uint64
	GetJoining() bool
	GetMembers() []*inner.Member
	GetWant() *inner.Place
	GetNext() *inner.Place
	GetFleet() uint64
	GetOther() *inner.Link
}

func beatMessage(be beat) member.Message {
	return member.Message{
		From:    member.Member{VM: vmIn(be.GetFrom()), Count: uint32(be.GetCount()), Leaving: be.GetLeaving()},
		Joining: be.GetJoining(),
		Members: membersIn(be.GetMembers()),
		Want:    placeIn(be.GetWant()),
		Next:    placeIn(be.GetNext()),
		Digest:  be.GetFleet(),
		Other:   linkIn(be.GetOther()),
	}
}
