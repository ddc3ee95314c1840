package node

import (
	"time"

	"laburnumvane/core/member"
	"laburnumvane/io/inner"
)

// Bits of the field State of inner.Member.
const (
	stateLeaving = 1
	stateGone    = 2
)

func vmToWire(vm member.VM) *inner.VM {
	return &inner.VM{Addr: vm.Addr, DataCentre: vm.DataCentre, Region: vm.Region, Incarnation: vm.Incarnation}
}

func vmFromWire(vm *inner.VM) member.VM {
	return member.VM{Addr: vm.GetAddr(), DataCentre: vm.GetDataCentre(), Region: vm.GetRegion(), Incarnation: vm.GetIncarnation()}
}

func memberToWire(mb member.Member) *inner.Member {
	state := uint32(0)
	if mb.Leaving {
		state |= stateLeaving
	}
	if mb.Gone {
		state |= stateGone
	}
	return &inner.Member{Vm: vmToWire(mb.VM), State: state, Heartbeat: uint64(mb.Count)}
}

func memberFromWire(mb *inner.Member) member.Member {
	return member.Member{
		VM:      vmFromWire(mb.GetVm()),
		Count:   uint32(mb.GetHeartbeat()),
		Leaving: mb.GetState()&stateLeaving != 0,
		Gone:    mb.GetState()&stateGone != 0,
	}
}

func membersToWire(mbs []member.Member) []*inner.Member {
	out := make([]*inner.Member, 0, len(mbs))
	for _, mb := range mbs {
		out = append(out, memberToWire(mb))
	}
	return out
}

func membersFromWire(mbs []*inner.Member) []member.Member {
	out := make([]member.Member, 0, len(mbs))
	for _, mb := range mbs {
		out = append(out, memberFromWire(mb))
	}
	return out
}

func placeToWire(cu member.Cursor) *inner.Place {
	if cu.DataCentre == "" {
		return nil
	}
	return &inner.Place{DataCentre: cu.DataCentre, After: cu.After}
}

func placeFromWire(pl *inner.Place) member.Cursor {
	return member.Cursor{DataCentre: pl.GetDataCentre(), After: pl.GetAfter()}
}

func linkToWire(dv member.DataCentreView) *inner.Link {
	if dv.DataCentre == "" {
		return nil
	}
	out := &inner.Link{DataCentre: dv.DataCentre, Digest: dv.Digest}
	if dv.SinceHeard >= 0 {
		out.SilentMs = dv.SinceHeard.Milliseconds() + 1
	}
	return out
}

func linkFromWire(li *inner.Link) member.DataCentreView {
	return member.DataCentreView{
		DataCentre: li.GetDataCentre(),
		Digest:     li.GetDigest(),
		SinceHeard: time.Duration(li.GetSilentMs()-1) * time.Millisecond,
	}
}

func beatRequest(mg member.Message) *inner.BeatRequest {
	return &inner.BeatRequest{
		Version: inner.Version,
		From:    vmToWire(mg.From.VM),
		Leaving: mg.From.Leaving,
		Count:   uint64(mg.From.Count),
		Joining: mg.Joining,
		Members: membersToWire(mg.Members),
		Want:    placeToWire(mg.WantPage),
		Next:    placeToWire(mg.NextPage),
		Fleet:   mg.Digest,
		Other:   linkToWire(mg.OtherDataCentre),
	}
}

func beatReply(mg member.Message) *inner.BeatReply {
	return &inner.BeatReply{
		Version: inner.Version,
		From:    vmToWire(mg.From.VM),
		Leaving: mg.From.Leaving,
		Count:   uint64(mg.From.Count),
		Joining: mg.Joining,
		Members: membersToWire(mg.Members),
		Want:    placeToWire(mg.WantPage),
		Next:    placeToWire(mg.NextPage),
		Fleet:   mg.Digest,
		Other:   linkToWire(mg.OtherDataCentre),
	}
}

// beatFields has the membership fields that BeatRequest and BeatReply share.
type beatFields interface {
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

func messageFromWire(be beatFields) member.Message {
	return member.Message{
		From:            member.Member{VM: vmFromWire(be.GetFrom()), Count: uint32(be.GetCount()), Leaving: be.GetLeaving()},
		Joining:         be.GetJoining(),
		Members:         membersFromWire(be.GetMembers()),
		WantPage:        placeFromWire(be.GetWant()),
		NextPage:        placeFromWire(be.GetNext()),
		Digest:          be.GetFleet(),
		OtherDataCentre: linkFromWire(be.GetOther()),
	}
}
