package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func key(name string) quarantine.Key {
	return quarantine.Key{Model: "m", Hash: fleet.ContentHash(name)}
}

func TestTwoCrashesConvictAndAnAnswerClears(t *testing.T) {
	table := quarantine.New(quarantine.DefaultSettings())
	table.Start(key("poison"), "a")
	table.Start(key("innocent"), "a")
	table.Crash(start, quarantine.CrashReport{Boot: "a", InFlight: []quarantine.Key{key("poison"), key("innocent")}})
	assert.Equal(t, table.Verdict(start, key("poison")), quarantine.Isolate)
	table.Start(key("innocent"), "b")
	assert.Assert(t, !table.MayStart(start, key("poison"), "c"), "two suspects at a time")
	table.Finish(key("innocent"), "b", true)
	assert.Equal(t, table.Verdict(start, key("innocent")), quarantine.Free)
	assert.Assert(t, table.MayStart(start, key("poison"), "c"))
	table.Start(key("poison"), "c")
	table.Crash(start, quarantine.CrashReport{Boot: "c", InFlight: []quarantine.Key{key("poison")}})
	assert.Equal(t, table.Verdict(start, key("poison")), quarantine.Refuse)
	assert.Equal(t, table.RetryAfter(start, key("poison")), quarantine.DefaultConvictedFor)

	resent := start.Add(quarantine.DefaultConvictedFor - time.Second)
	table.Refused(resent, key("poison"))
	assert.Equal(t, table.Verdict(start.Add(quarantine.DefaultConvictedFor), key("poison")), quarantine.Refuse)
	forgotten := resent.Add(quarantine.DefaultConvictedFor)
	assert.Equal(t, len(table.Export(forgotten)), 0)
}

func TestReportsOfOneCrashCountOnce(t *testing.T) {
	table := quarantine.New(quarantine.DefaultSettings())
	report := quarantine.CrashReport{Boot: "a", InFlight: []quarantine.Key{key("x")}}
	assert.Equal(t, len(table.Crash(start, report)), 1)
	assert.Equal(t, len(table.Crash(start, report)), 0)
	assert.Equal(t, table.Verdict(start, key("x")), quarantine.Isolate)
}

func TestTableIsBounded(t *testing.T) {
	s := quarantine.DefaultSettings()
	s.MaxEntries = 10
	table := quarantine.New(s)
	for _, boot := range []fleet.BootID{"a", "b"} {
		table.Crash(start, quarantine.CrashReport{Boot: boot, InFlight: []quarantine.Key{key("convict")}})
	}
	for i := range 1000 {
		table.Crash(start.Add(time.Duration(i)), quarantine.CrashReport{Boot: "c", InFlight: []quarantine.Key{key(fmt.Sprint(i))}})
	}
	assert.Equal(t, table.Size(), 10)
	assert.Equal(t, table.Verdict(start, key("convict")), quarantine.Refuse)
}

// copyInFlight is one running copy in the property below.
type copyInFlight struct {
	key  quarantine.Key
	boot fleet.BootID
}

// TestPoisonCostsAtMostTwoServers sends one poison request and innocent ones
// through random orders of starts, ends, crashes and takeovers.
func TestPoisonCostsAtMostTwoServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hold = time.Minute
		poison := key("poison")
		table := quarantine.New(quarantine.DefaultSettings())
		now := start
		boots := map[int]int{}
		var running []copyInFlight
		crashes, nextInnocent := 0, 0
		boot := func(server int) fleet.BootID { return fleet.BootID(fmt.Sprintf("s%d-%d", server, boots[server])) }
		begin := func(k quarantine.Key, server int) {
			if table.MayStart(now, k, boot(server)) {
				table.Start(k, boot(server))
				running = append(running, copyInFlight{k, boot(server)})
			}
		}
		var suspects []quarantine.Key
		actions := map[string]func(*rapid.T){
			"resend poison": func(rt *rapid.T) { begin(poison, rapid.IntRange(0, 4).Draw(rt, "server")) },
			"innocent": func(rt *rapid.T) {
				nextInnocent++
				begin(key(fmt.Sprint("innocent-", nextInnocent)), rapid.IntRange(0, 4).Draw(rt, "server"))
			},
			"retry innocent suspect": func(rt *rapid.T) {
				if len(suspects) > 0 {
					begin(rapid.SampledFrom(suspects).Draw(rt, "key"), rapid.IntRange(0, 4).Draw(rt, "server"))
				}
			},
			"end one": func(rt *rapid.T) {
				if len(running) == 0 {
					return
				}
				at := rapid.IntRange(0, len(running)-1).Draw(rt, "copy")
				done := running[at]
				running = append(running[:at:at], running[at+1:]...)
				if done.key != poison {
					table.Finish(done.key, done.boot, true)
					return
				}
				crashes++
				report := quarantine.CrashReport{Boot: done.boot, InFlight: []quarantine.Key{poison}}
				left := running[:0:0]
				for _, c := range running {
					if c.boot != done.boot {
						left = append(left, c)
						continue
					}
					report.InFlight = append(report.InFlight, c.key)
					if c.key != poison {
						suspects = append(suspects, c.key)
					}
				}
				running = left
				table.Crash(now, report)
				for server := range 5 {
					if boot(server) == done.boot {
						boots[server]++
					}
				}
			},
			"takeover": func(rt *rapid.T) {
				for _, c := range running {
					if c.key == poison && table.Verdict(now, poison) == quarantine.Free {
						return // stated limit: copies not yet suspected are not handed over
					}
				}
				next := quarantine.New(quarantine.DefaultSettings())
				next.Import(now, table.Export(now))
				next.Import(now, table.Export(now))
				next.Hold(now.Add(hold))
				table = next
			},
			"wait": func(rt *rapid.T) {
				if len(running) == 0 {
					now = now.Add(hold)
				}
			},
			"": func(rt *rapid.T) {
				if crashes > quarantine.MaxCrashes {
					rt.Fatalf("%d servers lost", crashes)
				}
				for _, k := range suspects {
					if table.Verdict(now, k) == quarantine.Refuse {
						rt.Fatalf("innocent %v refused", k)
					}
				}
			},
		}
		rt.Repeat(actions)
	})
}
