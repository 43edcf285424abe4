package fleet_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

func TestParseTarget(t *testing.T) {
	for _, tc := range []struct {
		in      string
		want    fleet.Target
		wantErr bool
	}{
		{in: "lathe", want: fleet.Target{Model: "lathe"}},
		{in: "lathe+collar", want: fleet.Target{Model: "lathe", Adapter: "collar"}},
		{in: "", wantErr: true},
		{in: "+collar", wantErr: true},
		{in: "lathe+", wantErr: true},
		{in: "a+b+c", wantErr: true},
	} {
		got, err := fleet.ParseTarget(tc.in)
		assert.Equal(t, err != nil, tc.wantErr, tc.in)
		assert.Equal(t, got, tc.want, tc.in)
		if !tc.wantErr {
			assert.Equal(t, got.String(), tc.in)
		}
	}
}

func TestParseRankRoundTrip(t *testing.T) {
	for r := range fleet.Rank(fleet.RankCount) {
		got, err := fleet.ParseRank(r.String())
		assert.NilError(t, err)
		assert.Equal(t, got, r)
	}
	_, err := fleet.ParseRank("Urgent")
	assert.ErrorContains(t, err, `unknown rank "Urgent"`)
}

func TestEnumsEncodeByName(t *testing.T) {
	type row struct {
		Rank  fleet.Rank
		VM    fleet.VMState
		State fleet.ReplicaState
		Near  fleet.Locality
	}
	want := row{fleet.RankBulk, fleet.VMLeaving, fleet.ReplicaReady, fleet.LocalityDisk}
	text, err := json.Marshal(want)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `{"Rank":"bulk","VM":"leaving","State":"ready","Near":"disk"}`)
	var got row
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.Equal(t, got, want)
	assert.ErrorContains(t, json.Unmarshal([]byte(`{"Near":"far"}`), &got), `unknown nearness "far"`)
}
