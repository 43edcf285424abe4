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

func TestSecondCrashRefusesAndResponseClears(t *testing.T) {
	table := quarantine.New(quarantine.DefaultSettings())
	table.RecordStart(key("poison"), "a")
	table.RecordStart(key("harmless"), "a")
	table.RecordCrash(start, quarantine.CrashReport{Boot: "a", InFlight: []quarantine.Key{key("poison"), key("harmless")}})
	assert.Equal(t, table.Decision(start, key("poison")), quarantine.Isolate)
	table.RecordStart(key("harmless"), "b")
	assert.Assert(t, !table.MayStart(start, key("poison"), "c"), "two suspects may run at a time")
	table.Finish(key("harmless"), "b", true)
	assert.Equal(t, table.Decision(start, key("harmless")), quarantine.Allow)
	assert.Assert(t, table.MayStart(start, key("poison"), "c"))
	table.RecordStart(key("poison"), "c")
	table.RecordCrash(start, quarantine.CrashReport{Boot: "c", InFlight: []quarantine.Key{key("poison")}})
	assert.Equal(t, table.Decision(start, key("poison")), quarantine.Refuse)
	assert.Equal(t, table.RetryAfter(start, key("poison")), quarantine.DefaultRefuseFor)

	resentAt := start.Add(quarantine.DefaultRefuseFor - time.Second)
	table.RecordRefusal(resentAt, key("poison"))
	assert.Equal(t, table.Decision(start.Add(quarantine.DefaultRefuseFor), key("poison")), quarantine.Refuse)
	expired := resentAt.Add(quarantine.DefaultRefuseFor)
	assert.Equal(t, len(table.Export(expired)), 0)
}

func TestRepeatedCrashReportCountsOnce(t *testing.T) {
	table := quarantine.New(quarantine.DefaultSettings())
	report := quarantine.CrashReport{Boot: "a", InFlight: []quarantine.Key{key("x")}}
	assert.Equal(t, len(table.RecordCrash(start, report)), 1)
	assert.Equal(t, len(table.RecordCrash(start, report)), 0)
	assert.Equal(t, table.Decision(start, key("x")), quarantine.Isolate)
}

// TestCopiesOfEarlierTermAreForgotten: the ends of copies that a controller started in
// an earlier term are not reported any more. They must not keep suspects, or further
// copies of their own content, from starting for ever.
func TestCopiesOfEarlierTermAreForgotten(t *testing.T) {
	const hold = 30 * time.Second
	table := quarantine.New(quarantine.DefaultSettings())
	suspect, other, fresh := key("suspect"), key("other suspect"), key("fresh")
	table.RecordCrash(start, quarantine.CrashReport{Boot: "a", InFlight: []quarantine.Key{suspect, other}})
	table.RecordStart(suspect, "b")
	table.RecordStart(fresh, "b")
	table.HoldSuspects(start.Add(hold))
	during, after := start.Add(hold/2), start.Add(hold)
	for _, k := range []quarantine.Key{suspect, other, fresh} {
		assert.Assert(t, !table.MayStart(during, k, "c"), "during the hold: %s", k.Hash)
	}
	assert.Assert(t, table.MayStart(during, fresh, "b"))
	for _, k := range []quarantine.Key{suspect, other, fresh} {
		assert.Assert(t, table.MayStart(after, k, "c"), "after the hold: %s", k.Hash)
	}
}

func TestTableEvictsOldestSuspectsFirst(t *testing.T) {
	s := quarantine.DefaultSettings()
	s.MaxEntries = 10
	table := quarantine.New(s)
	for _, boot := range []fleet.BootID{"a", "b"} {
		table.RecordCrash(start, quarantine.CrashReport{Boot: boot, InFlight: []quarantine.Key{key("confirmed")}})
	}
	for i := range 1000 {
		table.RecordCrash(start.Add(time.Duration(i)), quarantine.CrashReport{Boot: "c", InFlight: []quarantine.Key{key(fmt.Sprint(i))}})
	}
	assert.Equal(t, table.Size(), 10)
	assert.Equal(t, table.Decision(start, key("confirmed")), quarantine.Refuse)
}

// copyInFlight is one running copy of a request in TestPoisonRequestCrashesAtMostTwoServers.
type copyInFlight struct {
	key  quarantine.Key
	boot fleet.BootID
}

// TestPoisonRequestCrashesAtMostTwoServers runs one poison request and harmless
// requests through random sequences of starts, ends, crashes and takeovers. The
// poison request must crash at most MaxCrashes backend servers, and no harmless
// request may be refused.
func TestPoisonRequestCrashesAtMostTwoServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hold = time.Minute
		poison := key("poison")
		table := quarantine.New(quarantine.DefaultSettings())
		now := start
		boots := map[int]int{}
		var running []copyInFlight
		crashes, harmlessCount := 0, 0
		boot := func(server int) fleet.BootID { return fleet.BootID(fmt.Sprintf("s%d-%d", server, boots[server])) }
		startCopy := func(k quarantine.Key, server int) {
			if table.MayStart(now, k, boot(server)) {
				table.RecordStart(k, boot(server))
				running = append(running, copyInFlight{k, boot(server)})
			}
		}
		var suspects []quarantine.Key
		actions := map[string]func(*rapid.T){
			"resend poison": func(rt *rapid.T) { startCopy(poison, rapid.IntRange(0, 4).Draw(rt, "server")) },
			"harmless": func(rt *rapid.T) {
				harmlessCount++
				startCopy(key(fmt.Sprint("harmless-", harmlessCount)), rapid.IntRange(0, 4).Draw(rt, "server"))
			},
			"retry harmless suspect": func(rt *rapid.T) {
				if len(suspects) > 0 {
					startCopy(rapid.SampledFrom(suspects).Draw(rt, "key"), rapid.IntRange(0, 4).Draw(rt, "server"))
				}
			},
			"end one copy": func(rt *rapid.T) {
				if len(running) == 0 {
					return
				}
				index := rapid.IntRange(0, len(running)-1).Draw(rt, "copy")
				ended := running[index]
				running = append(running[:index:index], running[index+1:]...)
				if ended.key != poison {
					table.Finish(ended.key, ended.boot, true)
					return
				}
				crashes++
				report := quarantine.CrashReport{Boot: ended.boot, InFlight: []quarantine.Key{poison}}
				remaining := running[:0:0]
				for _, c := range running {
					if c.boot != ended.boot {
						remaining = append(remaining, c)
						continue
					}
					report.InFlight = append(report.InFlight, c.key)
					if c.key != poison {
						suspects = append(suspects, c.key)
					}
				}
				running = remaining
				table.RecordCrash(now, report)
				for server := range 5 {
					if boot(server) == ended.boot {
						boots[server]++
					}
				}
			},
			"takeover": func(rt *rapid.T) {
				for _, c := range running {
					if c.key == poison && table.Decision(now, poison) == quarantine.Allow {
						// A successor does not learn of copies of requests that are not yet suspects.
						// MaxCrashes is not guaranteed in this case.
						return
					}
				}
				successor := quarantine.New(quarantine.DefaultSettings())
				successor.Import(now, table.Export(now))
				successor.Import(now, table.Export(now))
				successor.HoldSuspects(now.Add(hold))
				table = successor
			},
			"wait": func(rt *rapid.T) {
				if len(running) == 0 {
					now = now.Add(hold)
				}
			},
			"": func(rt *rapid.T) {
				if crashes > quarantine.MaxCrashes {
					rt.Fatalf("%d backend servers crashed", crashes)
				}
				for _, k := range suspects {
					if table.Decision(now, k) == quarantine.Refuse {
						rt.Fatalf("harmless request %v refused", k)
					}
				}
			},
		}
		rt.Repeat(actions)
	})
}
