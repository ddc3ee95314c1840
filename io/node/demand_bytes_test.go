package node_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumvane/core/member"
	"laburnumvane/io/inner"
)

const (
	// demandInterval is the time between two demands of a VM.
	demandInterval = 2 * time.Second
	// tierFields is the size of the additional fields of a tier's demand, in bytes: the cut and
	// the lowest announced sum, each with its tag. sumFields is that of a sum: its group's name.
	tierFields = 2 + 9
	sumFields  = 10
)

// demandBytes returns the size of a demand that is piggybacked on a heartbeat.
func demandBytes(vms int) int {
	de := &inner.Demand{
		Team: "wash", Rate: 123.4, Share: 0.0123, Held: true, Sequence: 123_456,
		Vm: &inner.VM{Addr: fmt.Sprintf("10.20.%d.17:7001", vms%250), Incarnation: 1_764_700_000_000_000},
	}
	const tagAndLength = 2
	return proto.Size(de) + tagAndLength
}

// BenchmarkDemandBytes computes what the demands of one team cost each VM, in bytes a second,
// sent and received alike. once: each demand reaches a VM in one message, which is the minimum.
// spread: demands are repeated as the heartbeats' queue does, as far as the heartbeats' space
// allows. flat: every VM receives all demands. centres: demands stay within the data centre, and
// sums are exchanged between data centres. cells: the same with groups of the square root of the
// fleet's size, which needs the fewest bytes. The measured time has no meaning.
func BenchmarkDemandBytes(b *testing.B) {
	for _, fl := range []struct{ vms, centres int }{{9, 3}, {100, 3}, {1000, 13}, {4300, 13}} {
		cells := int(math.Round(math.Sqrt(float64(fl.vms))))
		for _, layout := range []struct {
			name   string
			groups int
		}{{"flat", 1}, {"centres", fl.centres}, {"cells", cells}} {
			b.Run(fmt.Sprintf("vms=%d/%s", fl.vms, layout.name), func(b *testing.B) {
				once, spread := 0.0, 0.0
				for b.Loop() {
					once, spread = bytesPerSecond(fl.vms, layout.groups)
				}
				b.ReportMetric(once, "once_B/s")
				b.ReportMetric(spread, "spread_B/s")
			})
		}
	}
}

func bytesPerSecond(vms, groups int) (once, spread float64) {
	size := demandBytes(vms)
	perSecond := 1 / demandInterval.Seconds()
	if groups == 1 {
		once = float64((vms-1)*size) * perSecond
		return once, once * float64(member.Retransmits(vms))
	}
	in := (vms + groups - 1) / groups
	inside := float64((in-1)*(size+tierFields)) * perSecond
	sums := float64((groups-1)*(size+sumFields)) * perSecond
	return inside + sums, inside*float64(member.Retransmits(in)) + sums*float64(member.Retransmits(vms))
}
