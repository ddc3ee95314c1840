// Package emul emulates the systems around a VM: the platform's key-value service and VM
// list, a register split into shards, and the upstreams that serve those shards. Each
// emulator is a real HTTP server on a loopback listener, so that the code under test uses its
// real transports. Faults of the original systems can be injected at run time.
//
// The emulators keep all state in memory. They reproduce the behaviour that callers must
// handle (leases that expire, answers that get lost, snapshots that are retired), not speed or
// durability.
//
// # Usage
//
// Start a key-value service, inject a fault, and remove it again:
//
//	kv := emul.NewKV(emul.KVConfig{})
//	err := kv.Start()
//	defer kv.Close()
//	kv.SetFaults(emul.KVFaults{LoseSwaps: true})
//	kv.SetFaults(emul.KVFaults{})
//
// Start a register of four services with three replicas each:
//
//	rg, err := emul.SampleRegister("members", 1, 1000)
//	fl, err := emul.NewFleet(emul.FleetConfig{
//		Register:    rg,
//		Services:    4,
//		DataCentres: []string{"dc1", "dc2", "dc3"},
//		Slots:       3,
//		Connections: 30,
//	})
//	defer fl.Close()
//	for _, sv := range fl.Servers() {
//		fmt.Println(sv.Addr, sv.DataCentre, sv.Service)
//	}
//
// A Clock returns a monotonic duration since a fixed start; a nil Clock means real time.
// Service times and long polls always take real time.
package emul
