package inner_test

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"laburnumvane/internal/golden"
	"laburnumvane/io/inner"
)

// kinds are all messages of the protocol.
func kinds() []protoreflect.MessageDescriptor {
	var out []protoreflect.MessageDescriptor
	all := inner.File_io_inner_inner_proto.Messages()
	for i := range all.Len() {
		out = append(out, all.Get(i))
	}
	return out
}

// full sets every field of a message, to a value made from the field's number.
func full(md protoreflect.MessageDescriptor) *dynamicpb.Message {
	msg := dynamicpb.NewMessage(md)
	for i := range md.Fields().Len() {
		set(msg, md.Fields().Get(i))
	}
	return msg
}

func set(msg *dynamicpb.Message, fd protoreflect.FieldDescriptor) {
	if fd.IsList() {
		list := msg.NewField(fd).List()
		list.Append(value(fd))
		msg.Set(fd, protoreflect.ValueOfList(list))
		return
	}
	msg.Set(fd, value(fd))
}

func value(fd protoreflect.FieldDescriptor) protoreflect.Value {
	num := int64(fd.Number())
	switch fd.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(num))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(num))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		return protoreflect.ValueOfInt64(num)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind:
		return protoreflect.ValueOfInt32(int32(num))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(num))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(fd.Name()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(fd.Name()))
	case protoreflect.MessageKind:
		return protoreflect.ValueOfMessage(dynamicpb.NewMessage(fd.Message()))
	default:
		panic(fmt.Sprintf("no value for a field of kind %v", fd.Kind()))
	}
}

// VMs of two versions talk to each other while the fleet is replaced. A field
// must keep its number, its type and so its bytes for ever; a new one may come
// to the file with -update, and no line of it may change or go.
func TestBytesStay(t *testing.T) {
	is := is.New(t)
	now := map[string]bool{}
	var sb strings.Builder
	for _, md := range kinds() {
		for i := range md.Fields().Len() {
			fd := md.Fields().Get(i)
			msg := dynamicpb.NewMessage(md)
			set(msg, fd)
			raw, err := proto.Marshal(msg)
			is.NoErr(err)
			line := fmt.Sprintf("%s.%s %s", md.Name(), fd.Name(), hex.EncodeToString(raw))
			now[line] = true
			sb.WriteString(line + "\n")
		}
	}
	for line := range strings.Lines(golden.Want(t, "fields", sb.String())) {
		if line = strings.TrimSpace(line); !now[line] {
			t.Errorf("older VMs know the field as %s", line)
		}
	}
}

// A newer VM sends a field that this one does not know, within a message that
// this one passes on. The third VM must get the field.
func TestUnknownFieldsSurvive(t *testing.T) {
	const newField, text = 900, "from a newer VM"
	unknown := protowire.AppendString(protowire.AppendTag(nil, newField, protowire.BytesType), text)
	for _, md := range kinds() {
		t.Run(string(md.Name()), func(t *testing.T) {
			is := is.New(t)
			raw, err := proto.Marshal(full(md))
			is.NoErr(err)
			relayed := dynamicpb.NewMessage(md)
			is.NoErr(proto.Unmarshal(append(raw, unknown...), relayed))
			again, err := proto.Marshal(relayed)
			is.NoErr(err)
			is.True(strings.Contains(string(again), text))
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
	is.True(strings.Contains(string(onward), text)) // a team passed on within another message
}

// generated are messages of the generated types.
func generated() []proto.Message {
	return []proto.Message{
		&inner.BeatRequest{}, &inner.BeatReply{}, &inner.ProbeRequest{}, &inner.ProbeReply{}, &inner.PushRequest{},
		&inner.PushReply{}, &inner.PullRequest{}, &inner.PullReply{}, &inner.RunRequest{}, &inner.RunReply{},
		&inner.IssueRequest{}, &inner.IssueReply{},
	}
}

// Whatever bytes come, they are decoded or refused, and what was decoded can be
// passed on as it came.
func FuzzMessages(f *testing.F) {
	for i, msg := range generated() {
		raw, err := proto.Marshal(full(msg.ProtoReflect().Descriptor()))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i, raw)
		f.Add(i, raw[:len(raw)/2])
	}
	f.Add(0, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, kind int, raw []byte) {
		is := is.New(t)
		all := generated()
		msg := all[uint(kind)%uint(len(all))]
		if proto.Unmarshal(raw, msg) != nil {
			return
		}
		again, err := proto.Marshal(msg)
		is.NoErr(err)
		second := msg.ProtoReflect().New().Interface()
		is.NoErr(proto.Unmarshal(again, second))
		is.True(proto.Equal(msg, second))
	})
}
