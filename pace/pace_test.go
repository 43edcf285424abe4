package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/pace"
)

var epoch = time.Unix(1000, 0)

const ms = time.Millisecond

func limitOf(l *pace.Limiter, now time.Time) int {
	limit, _ := l.Limit(now)
	return limit
}

// TestGoodAnswersEndLimit guards against a limit that grows by answers to requests from before its
// last change, or that does not reach the slots within a few answers.
func TestGoodAnswersEndLimit(t *testing.T) {
	var l pace.Limiter
	l.Started(epoch, 16, 10*time.Second)
	now := epoch
	l.Observe(now, pace.Outcome{Cause: pace.GoodAnswer, Latency: ms})
	assert.Equal(t, limitOf(&l, now), 2)
	for _, want := range []int{4, 8, 0} {
		now = now.Add(200 * ms)
		l.Observe(now, pace.Outcome{Cause: pace.GoodAnswer, Latency: 150 * ms, Ratio: 1})
		assert.Equal(t, limitOf(&l, now), want)
		l.Observe(now.Add(ms), pace.Outcome{Cause: pace.GoodAnswer, Latency: 150 * ms, Ratio: 1})
		assert.Equal(t, limitOf(&l, now), want, "the request was sent before the last change")
	}
	_, limited := l.Limit(now)
	assert.Assert(t, !limited)
	state, own := l.State()
	assert.Assert(t, own && state.Cause == pace.GoodAnswer, "other nodes must be told that the limit was dropped")
}

// TestOneRequestNeverHalvesLimit guards against bad luck of single requests that takes a server away:
// no outcome reduces the limit to half, and all requests sent before a decrease count as one.
func TestOneRequestNeverHalvesLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l pace.Limiter
		now := epoch
		l.Loaded(now, 64, rapid.IntRange(0, 63).Draw(t, "load"))
		for range 20 {
			before, _ := l.State()
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms)
			cause := rapid.SampledFrom([]pace.Cause{pace.SlowAnswer, pace.Failed, pace.Rejected, pace.GoodAnswer, pace.None}).Draw(t, "cause")
			o := pace.Outcome{Cause: cause, Latency: time.Duration(rapid.IntRange(0, 500).Draw(t, "latency")) * ms, Ratio: 9}
			l.Observe(now, o)
			after, _ := l.State()
			if after.Limit != 0 && (after.Limit < 1 || after.Limit < 0.69*before.Limit && after.Limit > 1) {
				t.Fatalf("%v after %v", after, before)
			}
			l.Observe(now, pace.Outcome{Cause: pace.SlowAnswer, Latency: ms, Ratio: 9})
			if again, _ := l.State(); after.Cause != pace.GoodAnswer && after.At.Equal(now) && again.Limit < after.Limit {
				t.Fatalf("reduced twice for requests sent before: %v after %v", again, after)
			}
		}
	})
}

// TestNewestEvidenceWins guards against limits of other nodes that replace newer evidence, that are
// malformed, or that leave a limit in force which was dropped.
func TestNewestEvidenceWins(t *testing.T) {
	var l pace.Limiter
	l.Started(epoch, 16, 0)
	now := epoch.Add(time.Second)
	adopt := func(limit float64, age time.Duration) bool {
		return l.Adopt(now, 16, pace.State{Limit: limit, At: now.Add(-age), Cause: pace.GoodAnswer})
	}
	assert.Assert(t, adopt(4, 3*time.Second), "any evidence is newer than that this node has read of the start")
	assert.Assert(t, !adopt(8, 4*time.Second))
	assert.Assert(t, !adopt(8, 2*time.Minute))
	assert.Assert(t, !adopt(math.NaN(), 0) && !adopt(-1, 0))
	assert.Equal(t, limitOf(&l, now), 4)
	l.Observe(now, pace.Outcome{Cause: pace.GoodAnswer, Latency: ms})
	assert.Assert(t, !adopt(4, time.Second))
	assert.Equal(t, limitOf(&l, now), 8)
	now = now.Add(time.Second)
	assert.Assert(t, adopt(0.01, time.Millisecond))
	assert.Equal(t, limitOf(&l, now), 1, "a server gets at least one request")
	assert.Assert(t, adopt(16, -time.Hour), "a time in the future counts as now")
	assert.Equal(t, limitOf(&l, now), 0)
	now = now.Add(time.Second)
	assert.Assert(t, !adopt(0, 0))
	assert.Assert(t, !adopt(4, 0), "a good answer that another node has seen is no cause for a limit")
}

// TestUnusedLimitIsDropped guards against limits that stay although they hold nothing back, and
// against ones dropped while the server says that it is slow; a server that says so for ever is not
// believed.
func TestUnusedLimitIsDropped(t *testing.T) {
	for said, until := range map[time.Duration]time.Duration{0: 15 * time.Second, 30 * time.Second: 30 * time.Second, time.Hour: time.Minute} {
		var l pace.Limiter
		l.Started(epoch, 16, said)
		l.Held(epoch.Add(5 * time.Second))
		assert.Equal(t, limitOf(&l, epoch.Add(until-ms)), 2)
		assert.Equal(t, limitOf(&l, epoch.Add(until)), 0)
		state, own := l.State()
		assert.Assert(t, !own && state.Cause == pace.Unused)
	}
}

// answer returns the time of an answer: times between 50 and 500 ms, and one long prompt in 25.
func answer(rng *rand.Rand, factor float64) time.Duration {
	if rng.IntN(25) == 0 {
		factor *= 6
	}
	return time.Duration(factor * float64(150*ms) * math.Exp(0.7*rng.NormFloat64()))
}

// usual returns what is usual after many answers.
func usual(rng *rand.Rand) *pace.Usual {
	var u pace.Usual
	for range 3000 {
		u.Add(answer(rng, 1))
	}
	return &u
}

// TestSlowServerIsFound guards against sound servers, and such as always take twice the usual time,
// that are found slow by chance or by a report of theirs, and against slow ones that are not found.
func TestSlowServerIsFound(t *testing.T) {
	for _, c := range []struct {
		name             string
		factor, reported float64
		answers, least   int // it is found this often at least, else never
	}{
		{"sound", 1, 1, 1_000_000, 0}, {"twice as long as others", 2, 1, 200_000, 0}, {"6 times", 6, 1, 60, 1}, {"6 times, and reports it", 6, 6, 8, 1},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		var s pace.Server
		u, found, now := usual(rng), 0, epoch
		for range c.answers {
			now = now.Add(time.Second)
			took := answer(rng, c.factor)
			if s.TurnedSlow(now, u, took, c.reported) {
				found++
			}
			s.Learn(u, took)
		}
		assert.Check(t, found >= c.least && (c.least > 0 || found == 0), "%s: found %d times", c.name, found)
	}
	var s pace.Server
	u := usual(rand.New(rand.NewPCG(1, 3)))
	for range 3 {
		assert.Assert(t, !s.TurnedSlow(epoch, u, time.Hour, 1), "few answers show nothing, however late")
	}
	assert.Assert(t, !s.TurnedSlow(epoch, &pace.Usual{}, time.Hour, 9), "nothing is usual yet")
}
