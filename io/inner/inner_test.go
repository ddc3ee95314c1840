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

// messages returns the descriptors of all messages of inner.proto.
func messages() []protoreflect.MessageDescriptor {
	var out []protoreflect.MessageDescriptor
	all := inner.File_io_inner_inner_proto.Messages()
	for i := range all.Len() {
		out = append(out, all.Get(i))
	}
	return out
}

// filled returns a message with every field set, to values made from the field's number or name.
func filled(md protoreflect.MessageDescriptor) *dynamicpb.Message {
	msg := dynamicpb.NewMessage(md)
	for i := range md.Fields().Len() {
		setField(msg, md.Fields().Get(i))
	}
	return msg
}

func setField(msg *dynamicpb.Message, fd protoreflect.FieldDescriptor) {
	if fd.IsList() {
		list := msg.NewField(fd).List()
		list.Append(fieldValue(fd))
		msg.Set(fd, protoreflect.ValueOfList(list))
		return
	}
	msg.Set(fd, fieldValue(fd))
}

func fieldValue(fd protoreflect.FieldDescriptor) protoreflect.Value {
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

// During a rolling replacement VMs of two versions exchange messages. A field must therefore keep
// its number and type, and so its encoding, for ever. New fields may be added to the golden file by
// -update, but no line of it may change or be removed.
func TestFieldEncodingIsStable(t *testing.T) {
	is := is.New(t)
	now := map[string]bool{}
	var sb strings.Builder
	for _, md := range messages() {
		for i := range md.Fields().Len() {
			fd := md.Fields().Get(i)
			msg := dynamicpb.NewMessage(md)
			setField(msg, fd)
			raw, err := proto.Marshal(msg)
			is.NoErr(err)
			line := fmt.Sprintf("%s.%s %s", md.Name(), fd.Name(), hex.EncodeToString(raw))
			now[line] = true
			sb.WriteString(line + "\n")
		}
	}
	for line := range strings.Lines(golden.Content(t, "fields", sb.String())) {
		if line = strings.TrimSpace(line); !now[line] {
			t.Errorf("field changed or removed; older VMs encode it as %s", line)
		}
	}
}

// A newer VM sends a message with a field that this VM does not know, and this VM passes the
// message on. The third VM must receive the field.
func TestUnknownFieldsSurvive(t *testing.T) {
	const newField, text = 900, "from a newer VM"
	unknown := protowire.AppendString(protowire.AppendTag(nil, newField, protowire.BytesType), text)
	for _, md := range messages() {
		t.Run(string(md.Name()), func(t *testing.T) {
			is := is.New(t)
			raw, err := proto.Marshal(filled(md))
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
	is.True(strings.Contains(string(onward), text)) // also within a nested message
}

// generated returns a message of each generated type of inner.proto.
func generated() []proto.Message {
	return []proto.Message{
		&inner.BeatRequest{}, &inner.BeatReply{}, &inner.ProbeRequest{}, &inner.ProbeReply{}, &inner.PushRequest{},
		&inner.PushReply{}, &inner.PullRequest{}, &inner.PullReply{}, &inner.RunRequest{}, &inner.RunReply{},
		&inner.IssueRequest{}, &inner.IssueReply{},
	}
}

// Arbitrary bytes must be decoded or refused, and a decoded message must be encoded again without a
// change.
func FuzzMessages(f *testing.F) {
	for i, msg := range generated() {
		raw, err := proto.Marshal(filled(msg.ProtoReflect().Descriptor()))
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
