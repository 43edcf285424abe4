package credentials_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/credentials"
	"github.com/redwingnotch/redwingnotch/routes"
)

// BenchmarkCheck measures one check of a key, with its hash, among 100 teams of ten keys.
func BenchmarkCheck(b *testing.B) {
	var teams []routes.Team
	for i := range 100 {
		team := routes.Team{Index: i}
		for k := range 10 {
			team.Keys = append(team.Keys, routes.HashKey(fmt.Sprintf("key-of-32-characters-%05d-%05d", i, k)))
		}
		teams = append(teams, team)
	}
	now := time.Unix(500, 0)
	c := credentials.NewChecker(credentials.Bounds{FailClosed: true, Revocation: 5 * time.Second, Apply: 3 * time.Second})
	index, _ := credentials.NewIndex(1, teams)
	c.PutInForce(index)
	c.ConfirmOwn(now)
	field := []string{"Token key-of-32-characters-00050-00005"}
	for b.Loop() {
		if c.Check(now, credentials.ParseKey(field)).Result != credentials.Accepted {
			b.Fatal("not accepted")
		}
	}
}
