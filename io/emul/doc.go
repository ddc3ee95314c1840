// Package emul holds the project's own stand-ins for the systems around a VM:
// the platform's key-value service and VM list, a register split into shards,
// and the upstreams that serve those shards. Each is a real HTTP server on a
// loopback listener, so that the code under test uses its real transports, and
// each can be told at run time to fail in the ways its original does.
//
// The stand-ins keep everything in memory. They aim at the behaviour that
// callers must cope with (leases that lapse, answers that get lost, snapshots
// that are retired), not at speed or durability.
//
// # Usage
//
// Start a key-value service, break it, and mend it again:
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
// Clocks are handed in as a monotonic duration since some fixed start; a nil
// clock means real time. Service times and long polls always pass in real time.
package emul
