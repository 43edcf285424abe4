package resumption_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/resumption"
)

var (
	now = time.Unix(1_000_000, 0)
	v1  = resumption.Origin{Service: "s", Software: "v1"}
	v2  = resumption.Origin{Service: "s", Software: "v2"}
)

// only is the answer of a node that has no record and has seen one version.
func only(version string) resumption.Answer {
	return resumption.Answer{Origin: resumption.Origin{Service: "s", Software: version}}
}

// seen is the answer of a node that has no record and has seen versions, maybe not all.
func seen(versions ...string) resumption.Answer { return resumption.Answer{Seen: versions} }

// TestOriginIsNotGuessed guards against a node that takes up a stream whose version it can't know.
func TestOriginIsNotGuessed(t *testing.T) {
	for name, tc := range map[string]struct {
		own     resumption.Answer
		peers   bool
		answers []resumption.Answer
		origin  resumption.Origin
		source  resumption.Source
	}{
		"record of a peer":            {only(""), true, []resumption.Answer{only(""), {Known: true, Origin: v2}}, v2, resumption.PeerRecord},
		"record against only version": {only("v1"), true, []resumption.Answer{only("v1"), {Known: true, Origin: v2}}, v2, resumption.PeerRecord},
		"only version, alone":         {only("v1"), false, nil, v1, resumption.OnlyVersion},
		"only version, no contact":    {only("v1"), true, nil, resumption.Origin{}, resumption.Unknown},
		"only version of a peer":      {only(""), true, []resumption.Answer{only(""), only("v1")}, v1, resumption.OnlyVersion},
		"peers differ":                {only(""), true, []resumption.Answer{only("v1"), only("v2")}, resumption.Origin{}, resumption.Unknown},
		"a peer differs":              {only("v1"), true, []resumption.Answer{only("v2")}, resumption.Origin{}, resumption.Unknown},
		"nobody knows":                {only(""), true, []resumption.Answer{only(""), only("")}, resumption.Origin{}, resumption.Unknown},
		"a peer has seen another":     {only("v1"), true, []resumption.Answer{only("v1"), seen("v1", "v2")}, resumption.Origin{}, resumption.Unknown},
		"it has seen another itself":  {seen("v1", "v2"), true, []resumption.Answer{only("v1")}, resumption.Origin{}, resumption.Unknown},
		"a peer has seen no version":  {only("v1"), true, []resumption.Answer{seen("")}, resumption.Origin{}, resumption.Unknown},
		"a peer has seen the same":    {only("v1"), true, []resumption.Answer{seen("v1")}, v1, resumption.OnlyVersion},
	} {
		origin, source := resumption.Conclude("s", tc.own, tc.peers, tc.answers)
		assert.Equal(t, origin, tc.origin, name)
		assert.Equal(t, source, tc.source, name)
	}
}

// TestRecordsEndWithTheirCallers guards against records that are kept for ever, or lost while a
// caller can come back, and against a second origin that replaces the first.
func TestRecordsEndWithTheirCallers(t *testing.T) {
	rs := resumption.NewRecords()
	rs.Add(now, resumption.Record{ID: "r1", Origin: v1, Expires: now.Add(10 * time.Second)})
	rs.Add(now, resumption.Record{ID: "r1", Origin: v2, Expires: now.Add(20 * time.Second)})
	r, found := rs.Find(now.Add(9*time.Second), "r1")
	assert.Assert(t, found)
	assert.Equal(t, r.Origin, v1)
	_, found = rs.Find(now.Add(10*time.Second), "r1")
	assert.Assert(t, !found)
	rs.Add(now.Add(11*time.Second), resumption.Record{ID: "r2", Origin: v1, Expires: now.Add(20 * time.Second)})
	rs.Expire(now.Add(11 * time.Second))
	assert.Equal(t, rs.Len(), 1)
	rs.Add(now, resumption.Record{ID: strings.Repeat("x", 1000), Origin: v1, Expires: now.Add(time.Hour)})
	assert.Equal(t, rs.Len(), 1)
}

// TestRecordsAreBounded guards against callers whose streams fill a node's memory.
func TestRecordsAreBounded(t *testing.T) {
	rs := resumption.NewRecords()
	const many = 100_000
	for i := range many {
		rs.Add(now, resumption.Record{ID: fmt.Sprint(i), Origin: v1, Expires: now.Add(time.Hour + time.Duration(i))})
	}
	assert.Assert(t, rs.Len() <= 8192, rs.Len())
	_, found := rs.Find(now, fmt.Sprint(many-1))
	assert.Assert(t, found)
}

// TestHistoryBeginsAnewAfterGap guards against a node that was cut off or stood still and takes
// what it sees now for all there has been.
func TestHistoryBeginsAnewAfterGap(t *testing.T) {
	const span, maxGap, maxAge = 10 * time.Second, 3 * time.Second, 2 * time.Second
	h := resumption.NewHistory(maxGap)
	assert.Assert(t, !h.Covers(now, 0, maxAge))
	follow := func(from, to time.Duration) {
		for at := from; at <= to; at += time.Second {
			h.Confirm(now.Add(at))
		}
	}
	follow(0, 10*time.Second)
	assert.Assert(t, h.Covers(now.Add(11*time.Second), span, maxAge))
	assert.Assert(t, !h.Covers(now.Add(13*time.Second), span, maxAge), "the newest confirmation is too old")
	follow(14*time.Second, 20*time.Second)
	assert.Assert(t, !h.Covers(now.Add(20*time.Second), span, maxAge), "there was a gap")
	follow(20*time.Second, 24*time.Second)
	assert.Assert(t, h.Covers(now.Add(24*time.Second), span, maxAge))
}

// TestHoldersSurviveOtherNodes guards against nodes that differ in which others they know and
// then look for a record at other nodes than hold it.
func TestHoldersSurviveOtherNodes(t *testing.T) {
	var nodes []string
	for i := range 9 {
		nodes = append(nodes, fmt.Sprintf("10.0.0.%d", i))
	}
	const streams = 500
	for i := range streams {
		id := fmt.Sprintf("r%d", i)
		first, asker := nodes[i%9], nodes[(i+1)%9]
		without := func(gone ...string) []string {
			var left []string
			for _, n := range nodes {
				if n != gone[0] && n != gone[len(gone)-1] {
					left = append(left, n)
				}
			}
			return left
		}
		holders := resumption.HoldersOf(id, without(first), resumption.Holders)
		for _, known := range [][]string{without(asker), without(first, asker)} {
			held := 0
			for _, n := range append(resumption.HoldersOf(id, known, resumption.Asked), asker) {
				for _, h := range holders {
					if h == n {
						held++
					}
				}
			}
			assert.Equal(t, held, len(holders))
		}
	}
}

// TestLongestLifeEndsWithItsRecord guards against one caller with a long time limit for which the
// only version of a service is doubted for good.
func TestLongestLifeEndsWithItsRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	rs := resumption.NewRecords()
	rs.Add(now, resumption.Record{ID: "a", Expires: now.Add(17 * time.Second)})
	rs.Add(now, resumption.Record{ID: "b", Expires: now.Add(time.Minute)})
	assert.Equal(t, rs.LongestLife(now.Add(59*time.Second)), time.Minute)
	assert.Equal(t, rs.LongestLife(now.Add(time.Minute)), time.Duration(0))
}
