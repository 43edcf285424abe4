package replicas_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/replicas"
)

// cacheTable returns a table with one server of 48 slots, and what a request of the size requires.
func cacheTable(tokens, shared int) (*replicas.Table, replicas.Requirement) {
	tab := replicas.NewTable()
	e := entry("s1", "z1", "m")
	e.Slots = 48
	tab.SetEntry(now, e)
	req := requirement("m", "")
	req.Tokens, req.CacheTokens = tokens, 211383
	if shared > 0 {
		req.SharedTokens, req.PrefixKey = shared, "manual"
	}
	return tab, req
}

// fill sends requests until the server takes no more, and returns how many it took and why.
func fill(tab *replicas.Table, req replicas.Requirement) (int, replicas.Result) {
	for n := 0; ; n++ {
		if _, result := tab.Choose(now, req); result != replicas.Chosen {
			return n, result
		}
		tab.BeginSized(now, "s1", req.Size())
	}
}

// TestRequestsFillSlotsOrKVCache guards against a bound on the KV cache that leaves slots idle: the
// streams, the long prompts and the mix of deployment B fill the slots, also long prompts
// that share most of their prompt; only long prompts alone fill the cache first.
func TestRequestsFillSlotsOrKVCache(t *testing.T) {
	for _, tc := range []struct {
		name                string
		tokens, shared, ran int // ran: further requests of 9,190 tokens that run already
		want                int
		result              replicas.Result
	}{
		{"streams", 646, 0, 0, 48, replicas.Full},
		{"streams_beside_10_long_prompts", 646, 0, 10, 38, replicas.Full},
		{"long_prompts", 9190, 0, 0, 23, replicas.CacheFull},
		{"long_prompts_with_shared_parts", 9190, 6300, 0, 48, replicas.Full},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tab, req := cacheTable(tc.tokens, tc.shared)
			for range tc.ran {
				tab.BeginSized(now, "s1", replicas.Size{Tokens: 9190})
			}
			n, result := fill(tab, req)
			t.Logf("%d requests, %v; with a mean output of half the maximum of 800, %d tokens would be in use", n, result, n*(tc.tokens-400)+tc.ran*8790)
			assert.Equal(t, n, tc.want)
			assert.Equal(t, result, tc.result)
			for range n {
				tab.EndSized("s1", req.Size())
			}
			again, _ := fill(tab, req)
			assert.Equal(t, again, n, "what ended must leave nothing behind")
		})
	}
}

// TestTokensOfOtherNodesCount guards against a KV cache that several nodes fill, each with what it
// holds in all. Requests of a node that tells no sizes have the mean size of this node's requests,
// and those of a silent node do not count.
func TestTokensOfOtherNodesCount(t *testing.T) {
	other, large := cacheTable(9190, 0)
	for range 10 {
		other.BeginSized(now, "s1", large.Size())
	}
	for _, tc := range []struct {
		name         string
		tokens       replicas.PeerTokens
		size, before int // of this node's requests, and how many it sent before the message
		want         int
	}{
		{"sizes", other.TokensInFlight(nil), 9190, 0, 8}, // a fifth of the cache is left free
		{"no sizes, large", replicas.PeerTokens{}, 9190, 1, 7},
		{"no sizes, small", replicas.PeerTokens{}, 646, 1, 37},
	} {
		tab, req := cacheTable(tc.size, 0)
		for range tc.before {
			tab.BeginSized(now, "s1", req.Size())
		}
		tab.SetPeerLoad(now, "peer", other.InFlight(), time.Second)
		tab.SetPeerTokens("peer", tc.tokens)
		n, _ := fill(tab, req)
		assert.Equal(t, n, tc.want, tc.name)
		_, result := tab.Choose(now.Add(time.Minute), req)
		assert.Equal(t, result, replicas.Chosen, "a silent node's requests still count")
	}
}

// TestSharedPartsOfOtherNodesAreStoredOnce guards against a long prompt that many nodes share and
// that counts once for each of them, which would leave the server idle.
func TestSharedPartsOfOtherNodesAreStoredOnce(t *testing.T) {
	tab, req := cacheTable(9190, 6300)
	for i := range 30 {
		other, _ := cacheTable(0, 0)
		other.BeginSized(now, "s1", req.Size())
		tab.SetPeerLoad(now, fmt.Sprint(i), other.InFlight(), time.Second)
		tab.SetPeerTokens(fmt.Sprint(i), other.TokensInFlight(nil))
	}
	n, _ := fill(tab, req)
	assert.Equal(t, n, 18, "30 requests of other nodes and 18 fill the 48 slots")
}
