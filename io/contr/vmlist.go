package contr

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// VMListService is a VM list under test.
type VMListService struct {
	Addr string
	// Set and Remove change the list at once.
	Set    func(vm wire.VM)
	Remove func(addr string)
}

// VMList checks what VMs rely on from a VM list.
func VMList(t *testing.T, start func(t *testing.T) VMListService) {
	t.Helper()
	read := func(t *testing.T, sv VMListService) []wire.VM {
		t.Helper()
		rp := send(t, http.MethodGet, "http://"+sv.Addr+wire.RouteVMs, nil, nil)
		is.New(t).Equal(rp.status, http.StatusOK)
		return decodeBody[wire.VMList](t, rp).VMs
	}
	runClauses(t, start, []clause[VMListService]{
		{"an empty list is an empty array", func(t *testing.T, sv VMListService) {
			is.New(t).Equal(len(read(t, sv)), 0)
		}},
		{"each VM has an address, a data centre and a state", func(t *testing.T, sv VMListService) {
			is := is.New(t)
			sv.Set(wire.VM{Addr: "10.0.0.1:7703", DataCentre: "east", State: wire.VMLive})
			sv.Set(wire.VM{Addr: "10.0.0.2:7703", DataCentre: "west", Region: "home", State: wire.VMLeaving})
			vms := read(t, sv)
			is.Equal(len(vms), 2)
			for _, vm := range vms {
				_, _, err := net.SplitHostPort(vm.Addr)
				is.NoErr(err)
				is.True(vm.DataCentre != "")
				is.True(vm.State == wire.VMLive || vm.State == wire.VMLeaving)
			}
		}},
		{"an address is listed once", func(t *testing.T, sv VMListService) {
			is := is.New(t)
			sv.Set(wire.VM{Addr: "10.0.0.1:7703", DataCentre: "east", State: wire.VMLive})
			sv.Set(wire.VM{Addr: "10.0.0.1:7703", DataCentre: "east", State: wire.VMLeaving})
			vms := read(t, sv)
			is.Equal(len(vms), 1)
			is.Equal(vms[0].State, wire.VMLeaving)
		}},
		{"a removed VM is no longer listed", func(t *testing.T, sv VMListService) {
			sv.Set(wire.VM{Addr: "10.0.0.1:7703", DataCentre: "east", State: wire.VMLive})
			sv.Remove("10.0.0.1:7703")
			is.New(t).Equal(len(read(t, sv)), 0)
		}},
	})
}
