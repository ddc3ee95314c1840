package view_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/view"
)

func newServer(id int) view.Server {
	return view.Server{ID: view.ServerID(id), Addr: fmt.Sprint("10.0.0.1:", id)}
}

// A search keeps the view that it began with: whatever views the control goroutine derives from it
// by replacing or adding servers, the old view stays unchanged.
func TestWithServerLeavesOldViewsUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		var vw view.View
		var model []view.Server
		type kept struct {
			vw    view.View
			model []view.Server
		}
		var old []kept
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			id := rapid.IntRange(0, len(model)).Draw(rt, "id")
			sv := newServer(id)
			sv.State = view.State(rapid.IntRange(0, 6).Draw(rt, "state"))
			old = append(old, kept{vw, slices.Clone(model)})
			vw = vw.WithServer(sv)
			if id == len(model) {
				model = append(model, sv)
			} else {
				model[id] = sv
			}
		}
		old = append(old, kept{vw, model})
		for _, kp := range old {
			is.Equal(kp.vw.Len(), len(kp.model))
			is.True(slices.Equal(kp.vw.Servers(), kp.model))
		}
	})
}

var (
	sink     *view.View
	flatSink []view.Server
)

// The cost of one state change, including publishing the new view: with chunks, and with a copy of
// the whole list.
func BenchmarkStateChange(b *testing.B) {
	for _, n := range []int{10, 1_000, 32_000} {
		servers := make([]view.Server, n)
		for i := range servers {
			servers[i] = newServer(i)
		}
		base := view.View{}.WithServers(servers)
		b.Run(fmt.Sprintf("chunks/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			vw := base
			for i := range b.N {
				sv := vw.Server(view.ServerID(i % n))
				sv.State = view.State(i % 7)
				vw = vw.WithServer(sv)
				pub := vw
				sink = &pub
			}
		})
		b.Run(fmt.Sprintf("wholeCopy/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			list := servers
			for i := range b.N {
				list = slices.Clone(list)
				list[i%n].State = view.State(i % 7)
				flatSink = list
			}
		})
	}
}
