package emul

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

func TestVMsLag(t *testing.T) {
	is := is.New(t)
	fc := &fakeClock{}
	vs := NewVMs(VMsConfig{Clock: fc.clock, Lag: time.Second})
	is.NoErr(vs.Start())
	defer vs.Close()
	states := func() map[string]wire.VMState {
		var vl wire.VMList
		_, err := newTestClient(t, waitTimeout).send(vs.Addr(), wire.RouteVMs, nil, &vl)
		is.NoErr(err)
		sts := map[string]wire.VMState{}
		for _, vm := range vl.VMs {
			sts[vm.Addr] = vm.State
		}
		return sts
	}
	live := map[string]wire.VMState{"a": wire.VMLive, "b": wire.VMLive}
	after := map[string]wire.VMState{"a": wire.VMLeaving}

	vs.Set(wire.VM{Addr: "a", State: wire.VMLive})
	vs.Set(wire.VM{Addr: "b", State: wire.VMLive})
	is.Equal(states(), map[string]wire.VMState{})
	fc.advance(time.Second)
	is.Equal(states(), live)
	vs.Leaving("a")
	vs.Remove("b")
	vs.Leaving("unknown")
	is.Equal(states(), live)
	vs.SetLag(0)
	is.Equal(states(), after)

	vs.SetDown(true)
	_, err := newTestClient(t, waitTimeout).send(vs.Addr(), wire.RouteVMs, nil, nil)
	is.True(err != nil)
	vs.SetDown(false)
	is.Equal(states(), after)
}
