package search_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"laburnumvane/core/merge"
	"laburnumvane/core/search"
)

// fields holds the name=value words of a line. A word without = is a flag.
type fields map[string]string

func parseFields(words []string) (fields, error) {
	fs := fields{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		if _, double := fs[name]; double {
			return nil, fmt.Errorf("duplicate field %s", name)
		}
		fs[name] = value
	}
	return fs, nil
}

func (fs fields) has(name string) bool {
	_, ok := fs[name]
	return ok
}

// number returns 0 for an absent field and panics for an invalid one.
func (fs fields) number(name string) int {
	if !fs.has(name) {
		return 0
	}
	n, err := strconv.Atoi(fs[name])
	if err != nil {
		panic(err)
	}
	return n
}

func (fs fields) duration(name string) time.Duration {
	if !fs.has(name) {
		return 0
	}
	d, err := time.ParseDuration(fs[name])
	if err != nil {
		panic(err)
	}
	return d
}

// eventOf parses an event: its kind and its fields.
func eventOf(words []string) (search.Event, error) {
	fs, err := parseFields(words[1:])
	if err != nil {
		return search.Event{}, err
	}
	ev := search.Event{
		Sub:          search.SubID{Search: 1, Attempt: uint32(fs.number("sub"))},
		Shard:        fs.number("shard"),
		Snapshot:     uint64(fs.number("snapshot")),
		Shards:       fs.number("shards"),
		Hits:         hitsOf(fs["hits"]),
		More:         fs.has("more"),
		Reason:       fs["reason"],
		Sent:         fs.has("sent"),
		SnapshotGone: fs.has("snapshotGone"),
		Elsewhere:    fs.has("elsewhere"),
		RetryAfter:   fs.duration("retryAfter"),
	}
	switch words[0] {
	case "reply":
		ev.Kind = search.EvReply
	case "refused":
		ev.Kind = search.EvRefused
	case "failed":
		ev.Kind = search.EvFailed
	case "wake":
		ev.Kind = search.EvWake
	case "cancel":
		ev.Kind = search.EvCancel
	default:
		return ev, fmt.Errorf("unknown kind of event %q", words[0])
	}
	return ev, nil
}

// hitsOf parses hits in the form member:key,member:key.
func hitsOf(text string) []merge.Hit {
	if text == "" {
		return nil
	}
	var hits []merge.Hit
	for word := range strings.SplitSeq(text, ",") {
		member, key, _ := strings.Cut(word, ":")
		hits = append(hits, merge.Hit{Member: member, Key: key})
	}
	return hits
}
