package search_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"laburnumvane/core/merge"
	"laburnumvane/core/search"
)

// fields are the name=value words of a line; a word alone is a flag.
type fields map[string]string

func parseFields(words []string) (fields, error) {
	fs := fields{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		if _, double := fs[name]; double {
			return nil, fmt.Errorf("%s stands twice", name)
		}
		fs[name] = value
	}
	return fs, nil
}

func (fs fields) has(name string) bool {
	_, ok := fs[name]
	return ok
}

// num is 0 for a field that is absent; a garbled one stops the test.
func (fs fields) num(name string) int {
	if !fs.has(name) {
		return 0
	}
	n, err := strconv.Atoi(fs[name])
	if err != nil {
		panic(err)
	}
	return n
}

func (fs fields) span(name string) time.Duration {
	if !fs.has(name) {
		return 0
	}
	d, err := time.ParseDuration(fs[name])
	if err != nil {
		panic(err)
	}
	return d
}

// eventOf reads an event: its kind and its fields.
func eventOf(words []string) (search.Event, error) {
	fs, err := parseFields(words[1:])
	if err != nil {
		return search.Event{}, err
	}
	ev := search.Event{
		Sub:          search.SubID{Search: 1, Attempt: uint32(fs.num("sub"))},
		Shard:        fs.num("shard"),
		Snapshot:     uint64(fs.num("snapshot")),
		Shards:       fs.num("shards"),
		Hits:         hitsOf(fs["hits"]),
		More:         fs.has("more"),
		Reason:       fs["reason"],
		Sent:         fs.has("sent"),
		SnapshotGone: fs.has("snapshotGone"),
		Elsewhere:    fs.has("elsewhere"),
		RetryAfter:   fs.span("retryAfter"),
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
		return ev, fmt.Errorf("no event is called %s", words[0])
	}
	return ev, nil
}

// hitsOf reads hits in the form member:key,member:key.
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
