package wire_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// A server's status is not trusted. A status with an impossible number of shards must be rejected
// by the decoder: the maps made from it would use up the VM's memory or crash it.
func TestHoldingBounds(t *testing.T) {
	cases := []struct {
		body string
		ok   bool
	}{
		{`{"register":"a","snapshot":1,"shards":1,"held":[0]}`, true},
		{`{"register":"a","snapshot":1,"shards":65536,"held":[65535]}`, true},
		{`{"register":"a","snapshot":1,"shards":4}`, true},
		{`{"register":"a","snapshot":1,"shards":65537,"held":[]}`, false},
		{`{"register":"a","snapshot":1,"shards":2147483647,"held":[]}`, false},
		{`{"register":"a","snapshot":1,"shards":0,"held":[]}`, false},
		{`{"register":"a","snapshot":1,"shards":-1,"held":[]}`, false},
		{`{"register":"a","snapshot":1,"shards":4,"held":[4]}`, false},
		{`{"register":"a","snapshot":1,"shards":4,"held":[-1]}`, false},
		{`{"register":"a","snapshot":1,"shards":"4"}`, false},
	}
	for _, tc := range cases {
		t.Run(tc.body, func(t *testing.T) {
			is := is.New(t)
			var st wire.UpstreamStatus
			err := json.Unmarshal([]byte(`{"slots":3,"holdings":[`+tc.body+`]}`), &st)
			is.Equal(err == nil, tc.ok)
			var fast wire.UpstreamStatus
			err = wire.Decode([]byte(`{"slots":3,"holdings":[`+tc.body+`]}`), &fast)
			is.Equal(err == nil, tc.ok)
		})
	}
}

// A server's refusal becomes the reason in a caller's answer, in the log and in metrics, so an
// unknown refusal must be replaced.
func TestUnknownRefusal(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]wire.Refusal{
		"": "", "shed": wire.RefusalShed, "draining": wire.RefusalDraining, "cold": wire.RefusalCold,
		"snapshotGone": wire.RefusalSnapshotGone, "expired": wire.RefusalExpired, "notHeld": wire.RefusalNotHeld,
		"tired": wire.RefusalOther, strings.Repeat("x", 1<<20): wire.RefusalOther,
	} {
		raw, err := json.Marshal(map[string]string{"id": "a", "refusal": text})
		is.NoErr(err)
		var rp wire.ShardReply
		is.NoErr(json.Unmarshal(raw, &rp))
		is.Equal(rp.Refusal, want)
		var fast wire.ShardReply
		is.NoErr(wire.Decode(raw, &fast))
		is.Equal(fast.Refusal, want)
	}
	var rp wire.ShardReply
	is.True(json.Unmarshal([]byte(`{"refusal":7}`), &rp) != nil)
	is.NoErr(json.Unmarshal([]byte(`{"refusal":null}`), &rp))
	is.Equal(rp.Refusal, wire.Refusal(""))
}

// FuzzStatus decodes arbitrary bytes as a server's status.
func FuzzStatus(f *testing.F) {
	f.Add([]byte(`{"incarnation":1,"state":"serving","slots":3,"holdings":[{"register":"a","snapshot":1,"shards":2,"held":[0,1]}]}`))
	f.Add([]byte(`{"holdings":[{"shards":2147483647}]}`))
	f.Add([]byte(`{"holdings":[{"shards":-1,"held":[-1]}]}`))
	f.Add([]byte(`{"holdings":null,"state":7}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var st wire.UpstreamStatus
		if json.Unmarshal(raw, &st) != nil {
			return
		}
		is := is.New(t)
		for _, ho := range st.Holdings {
			is.True(ho.Shards >= 0 && ho.Shards <= wire.MaxShards)
			for _, shard := range ho.Held {
				is.True(shard >= 0 && shard < ho.Shards)
			}
		}
		_, err := json.Marshal(st)
		is.NoErr(err)
	})
}
