package remote

import (
	"context"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
	"laburnumvane/io/inner"
)

// Join has one of the VMs send a request to servers of its data centre. The times in the request are
// as of the call; the time that passes until it is sent is added to it. If the error is of KindNone
// nothing ran there. The results that the reply leaves out can be requested from the
// VM with Follow.
func (cl *Client) Join(ctx context.Context, vms []*origin.Upstream, usual time.Duration, rq *inner.JoinRequest) (*inner.JoinReply, *origin.Upstream, error) {
	began := cl.cfg.Clock()
	vm, ok := cl.pick(vms, nil, usual)
	if !ok {
		return nil, nil, &Error{Op: "carry.Join", Kind: KindNone, Err: errNoVM}
	}
	cl.table.Begin(began, usual, vm.Process())
	se := &sending{cl: cl, addr: vm.Addr}
	rp, err := cl.stubs.Client(vm.Addr).Join(se.trace(withStamp(ctx, joinWaitedField, began)), rq)
	sent := se.end()
	now := cl.cfg.Clock()
	if err != nil {
		cl.table.Withdraw(now, vm.Process(), now-began)
		switch {
		case ctx.Err() == nil:
			if sent {
				cl.peers.Doubt(now, vm.Addr)
				cl.watch()
			}
			cl.stubs.Remove(vm.Addr)
		case sent:
			cl.peers.Drop(vm.Addr)
		}
		kind := KindNone
		if sent {
			kind = KindLost
		}
		return nil, vm, &Error{Op: "carry.Join", Kind: kind, Addr: vm.Addr, Err: err}
	}
	cl.peers.Answer(now, vm.Addr, now-began)
	if rp.GetDeclined() {
		cl.recordDeclined(now, vm.Process(), rp.GetReason())
		return nil, vm, &Error{Op: "carry.Join", Kind: KindNone, Addr: vm.Addr, Err: errNoVM}
	}
	cl.table.End(now, vm.Process(), steer.Result{Verdict: fanout.Served, Latency: now - began, UsualLatency: usual})
	return rp, vm, nil
}

// Follow requests from a VM the results that its reply to Join left out.
func (cl *Client) Follow(ctx context.Context, vm *origin.Upstream, token uint64) (*inner.JoinReply, error) {
	rp, err := cl.stubs.Client(vm.Addr).Join(ctx, &inner.JoinRequest{Follow: token})
	switch {
	case err != nil:
		return nil, &Error{Op: "carry.Follow", Kind: KindLost, Addr: vm.Addr, Err: err}
	case rp.GetDeclined():
		return nil, &Error{Op: "carry.Follow", Kind: KindLost, Addr: vm.Addr, Err: errNoVM}
	}
	return rp, nil
}
