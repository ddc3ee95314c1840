package meter_test

import (
	"testing"
	"time"

	"laburnumvane/io/meter"
)

func BenchmarkCount(b *testing.B) {
	mt := meter.New()
	b.ReportAllocs()
	for b.Loop() {
		mt.Count(meter.Upstream, "shed")
	}
}

func BenchmarkCountParallel(b *testing.B) {
	mt := meter.New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mt.Count(meter.Upstream, "shed")
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	mt := meter.New()
	b.ReportAllocs()
	for b.Loop() {
		mt.Observe(meter.SubLatency, 3*time.Millisecond)
	}
}

func BenchmarkObserveParallel(b *testing.B) {
	mt := meter.New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mt.Observe(meter.SubLatency, 3*time.Millisecond)
		}
	})
}
