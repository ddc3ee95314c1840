package costs_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"laburnumvane/io/inner"
)

// BenchmarkPayload reports the bytes of messages alone, without those of twirp and HTTP.
func BenchmarkPayload(b *testing.B) {
	vm := &inner.VM{Addr: "10.0.0.1:7703", DataCentre: "east", Region: "north", Incarnation: 1 << 50}
	for _, bc := range []struct {
		name string
		msg  proto.Message
	}{
		{"emptyBeat", emptyBeat()},
		{"demand", &inner.Demand{Team: "pettigrew", Rate: 123.4, Share: 56.7, Vm: vm, Sequence: 1 << 20}},
	} {
		b.Run(bc.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = proto.Size(bc.msg)
			}
			b.ReportMetric(float64(size), "payload-B")
		})
	}
}
