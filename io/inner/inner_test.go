package inner_test

import (
	"encoding/hex"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"laburnumvane/io/inner"
)

var update = flag.Bool("update", false, "write the golden file anew")

// messages are one of each kind with every field set, by name.
func messages() []struct {
	name string
	msg  proto.Message
} {
	vm := &inner.VM{Addr: "127.0.0.1:7703", DataCentre: "east", Incarnation: 7, Region: "home"}
	members := []*inner.Member{{Vm: vm, State: 2, Heartbeat: 9}}
	signs := []*inner.Sign{{Server: "127.0.0.1:9000", Incarnation: 3, Kind: 1}}
	demands := []*inner.Demand{{Team: "wash", Rate: 1.5, Share: 0.25, Vm: vm, Sequence: 4}}
	hints := []*inner.Hint{{Register: "members", Snapshot: 12}}
	teams := []*inner.TeamConfig{{Team: "wash", Revision: 5, ChangeId: "c5", Document: []byte("{}")}}
	held := []*inner.TeamRevision{{Team: "wash", Revision: 5, ChangeId: "c5"}}
	return []struct {
		name string
		msg  proto.Message
	}{
		{"BeatRequest", &inner.BeatRequest{Version: 1, From: vm, Sequence: 2, Leaving: true, Members: members, Signs: signs, Demands: demands, Hints: hints, Digest: 10, Highest: 11}},
		{"BeatReply", &inner.BeatReply{Version: 1, From: vm, Sequence: 2, Leaving: true, Members: members, Signs: signs, Demands: demands, Hints: hints, Digest: 10, Highest: 11}},
		{"ProbeRequest", &inner.ProbeRequest{Version: 1, From: vm, Target: vm}},
		{"ProbeReply", &inner.ProbeReply{Version: 1, Reached: true, Incarnation: 7}},
		{"PushRequest", &inner.PushRequest{Version: 1, From: vm, Teams: teams, Hops: 3}},
		{"PushReply", &inner.PushReply{Version: 1, Held: held}},
		{"PullRequest", &inner.PullRequest{Version: 1, From: vm, Held: held, Teams: []string{"wash"}, Brief: true}},
		{"PullReply", &inner.PullReply{Version: 1, From: vm, Teams: teams, Held: held}},
		{"RunRequest", &inner.RunRequest{Version: 1, From: vm, Request: []byte("{}"), DeadlineMs: 250}},
		{"RunReply", &inner.RunReply{Version: 1, Answer: []byte("{}"), Void: true}},
	}
}

// VMs of two versions talk to each other while the fleet is replaced. The bytes
// of a message must stay what they were; a change here that is not a new field
// cuts the old VMs off.
func TestBytes(t *testing.T) {
	is := is.New(t)
	var sb strings.Builder
	for _, ms := range messages() {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(ms.msg)
		is.NoErr(err)
		sb.WriteString(ms.name + " " + hex.EncodeToString(raw) + "\n")
	}
	const path = "testdata/messages.golden"
	if *update {
		is.NoErr(os.WriteFile(path, []byte(sb.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(sb.String(), string(want))
}

// A newer VM sends a field that this one does not know, within a message that
// this one passes on. The third VM must get the field.
func TestUnknownFieldsSurvive(t *testing.T) {
	const newField, value = 900, "from a newer VM"
	unknown := protowire.AppendString(protowire.AppendTag(nil, newField, protowire.BytesType), value)
	for _, ms := range messages() {
		t.Run(ms.name, func(t *testing.T) {
			is := is.New(t)
			raw, err := proto.Marshal(ms.msg)
			is.NoErr(err)
			relayed := ms.msg.ProtoReflect().New().Interface()
			is.NoErr(proto.Unmarshal(append(raw, unknown...), relayed))
			again, err := proto.Marshal(relayed)
			is.NoErr(err)
			is.True(strings.Contains(string(again), value))
			is.True(!proto.Equal(relayed, ms.msg))
		})
	}
	is := is.New(t)
	team, err := proto.Marshal(&inner.TeamConfig{Team: "wash", Revision: 5})
	is.NoErr(err)
	nested := protowire.AppendBytes(protowire.AppendTag(nil, 3, protowire.BytesType), append(team, unknown...))
	var push inner.PushRequest
	is.NoErr(proto.Unmarshal(nested, &push))
	onward, err := proto.Marshal(&inner.PushRequest{Version: 1, Teams: push.GetTeams(), Hops: 1})
	is.NoErr(err)
	is.True(strings.Contains(string(onward), value)) // a team passed on within another message
}

// Whatever bytes come, they are decoded or refused, and what was decoded can be
// passed on as it came.
func FuzzMessages(f *testing.F) {
	for i, ms := range messages() {
		raw, err := proto.Marshal(ms.msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i, raw)
		f.Add(i, raw[:len(raw)/2])
	}
	f.Add(0, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, kind int, raw []byte) {
		all := messages()
		msg := all[uint(kind)%uint(len(all))].msg.ProtoReflect().New().Interface()
		if proto.Unmarshal(raw, msg) != nil {
			return
		}
		again, err := proto.Marshal(msg)
		is.New(t).NoErr(err)
		second := msg.ProtoReflect().New().Interface()
		is.New(t).NoErr(proto.Unmarshal(again, second))
		is.New(t).True(proto.Equal(msg, second))
	})
}
