package front

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// TestWaitingRequestNamesTeamAndTokens guards against requests that count in another team's share,
// or with other tokens than their callers name.
func TestWaitingRequestNamesTeamAndTokens(t *testing.T) {
	n := newTestNode(t, platform.Settings{})
	route := &routes.Route{Kind: routes.Safe, Priority: 2}
	for _, tc := range []struct {
		params       platform.RequestParams
		team         *routes.Team
		name         string
		priority     int
		tokens, cost int
	}{
		{platform.RequestParams{PromptTokens: 646, OutputTokens: 80}, &routes.Team{Name: "a", Priority: 1, PlainTokens: 300}, "a", 1, 726, 726},
		{platform.RequestParams{}, &routes.Team{Name: "a", PlainTokens: 300}, "a", 0, 0, 300},
		{platform.RequestParams{PromptTokens: -5, OutputTokens: -1}, nil, "", 0, 0, plainCost},
		{platform.RequestParams{PromptTokens: 1 << 62, OutputTokens: 1 << 62}, nil, "", 0, 2 * maxTokens, 2 * maxTokens},
	} {
		x := &exchange{node: n.Node, route: route, params: tc.params, team: tc.team}
		r := x.waitingRequest()
		assert.Equal(t, r.Team, tc.name)
		assert.Equal(t, r.TeamPriority, tc.priority)
		assert.Equal(t, r.Priority, 2)
		assert.Equal(t, r.Requirement.Tokens, tc.tokens)
		assert.Equal(t, r.Cost, float64(tc.cost))
		assert.Equal(t, r.Requirement.Size(), x.size(), "what ends must be what began")
	}
}

// TestMessagesCarryTokensInFlight guards against nodes that do not know what others have sent to a
// server's KV cache, and against messages that outgrow their part of the link by it.
func TestMessagesCarryTokensInFlight(t *testing.T) {
	from, to := newTestNode(t, platform.Settings{Node: "from"}), newTestNode(t, platform.Settings{})
	now := bootclock.Now()
	e := replicas.Entry{ID: "s1", Address: "127.0.0.1:1", Service: "llm", Zone: "z", Slots: 48, Start: 1, Revision: 1, Holds: []replicas.Holding{{Model: "m"}}}
	for _, n := range []*testNode{from, to} {
		n.table.SetEntry(now, e)
	}
	req := replicas.Requirement{Service: "llm", Model: "m", Zone: "z", Tokens: 9190, CacheTokens: 100000, SharedTokens: 6300, PrefixKey: "0123456789abcdef"}
	for range 20 {
		from.table.BeginSized(now, "s1", req.Size())
	}
	plain := from.encode(from.partial(now, from.message(now, true, true)))
	var m message
	assert.NilError(t, json.Unmarshal(plain, &m))
	assert.DeepEqual(t, m.Tokens, map[string]int{"s1": (20*2890 + 128) / replicas.TokenUnit})
	assert.DeepEqual(t, m.Shared, map[string]map[string]int{"s1": {req.PrefixKey: 25}})
	m.IP, m.Incarnation, m.Waiting = "127.0.0.2", 1, map[string]int{"llm": 1}
	to.received(m)
	now = bootclock.Now()
	_, result := to.table.Choose(now, req)
	assert.Equal(t, result, replicas.Chosen, "57,800 + 6,400 tokens, and 2,890 of the request that shares its prompt")
	req.PrefixKey = "other"
	req.Tokens = 30000
	_, result = to.table.Choose(now, req)
	assert.Equal(t, result, replicas.CacheFull)
	_, result = to.table.Choose(now.Add(time.Minute), req)
	assert.Equal(t, result, replicas.Chosen, "a silent node's tokens still count")
}
