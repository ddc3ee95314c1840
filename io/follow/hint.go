package follow

import (
	"context"
	"time"

	"laburnumvane/io/inner"
)

// tellHintTime bounds the call by which the followed VM hears of a hint.
const tellHintTime = 300 * time.Millisecond

// TellHint has the other VMs hear of a word at once: those that follow this one, the one
// that it follows, and so on.
func (fo *Follower) TellHint(ctx context.Context, word string) {
	if fresh := fo.keepHints([]string{word}); len(fresh) > 0 {
		fo.tellUp(ctx, fresh)
	}
}

// keepHints keeps words for those that follow this VM, and returns the new ones.
func (fo *Follower) keepHints(words []string) (fresh []string) {
	if len(words) == 0 {
		return nil
	}
	now := fo.cfg.Clock()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, word := range words {
		if fo.hints.Add(now, word) {
			fresh = append(fresh, word)
		}
	}
	if len(fresh) > 0 {
		fo.wakeAll()
	}
	return fresh
}

// takeHints takes other VMs' words, and returns the new ones.
func (fo *Follower) takeHints(words []string) (fresh []string) {
	fresh = fo.keepHints(words)
	for _, word := range fresh {
		fo.cfg.Hinted(word)
	}
	return fresh
}

// passUp takes words of a VM that follows this one, and passes the new ones on without
// keeping that VM waiting.
func (fo *Follower) passUp(words []string) {
	if fresh := fo.takeHints(words); len(fresh) > 0 {
		go fo.tellUp(context.Background(), fresh)
	}
}

// tellUp has the VM that this one follows hear of words.
func (fo *Follower) tellUp(ctx context.Context, words []string) {
	fo.mu.Lock()
	addr, after := fo.follows, fo.replica.AsOf()
	fo.mu.Unlock()
	if addr == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, tellHintTime)
	defer cancel()
	fo.cfg.Count("hint")
	if _, err := fo.ask(bounded, addr, after, 0, words...); err != nil {
		// The others hear by way of the store.
		fo.cfg.Count("hintFailed")
	}
}

// addHints puts the words into a reply that its caller has not seen, and tells whether there
// are any. The caller holds the lock.
func (fo *Follower) addHints(rq *inner.FollowRequest, rp *inner.FollowReply) bool {
	if !rq.GetTakesHints() {
		return false
	}
	words, upto := fo.hints.Since(fo.cfg.Clock(), rq.GetHintsSeen())
	for _, word := range words {
		rp.Hints = append(rp.Hints, []byte(word))
	}
	rp.HintsUpto = upto
	return len(words) > 0
}

// mostHintsSeen bounds the VMs of which it is kept what they told; VMs follow one or two.
const mostHintsSeen = 16

// noteHintsSeen keeps up to where a VM's words are known. The caller holds the lock.
func (fo *Follower) noteHintsSeen(addr string, upto uint64) {
	if _, ok := fo.hintsSeen[addr]; !ok && len(fo.hintsSeen) >= mostHintsSeen {
		clear(fo.hintsSeen)
	}
	fo.hintsSeen[addr] = upto
}
