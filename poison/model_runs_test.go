package poison_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
)

// modelSeeds is the number of seeds of a run.
var modelSeeds = flag.Int("model-seeds", 40, "number of seeds of the model")

// TestModelPoisonIsBoundedAndInnocentsServed guards against a poison request that is sent
// on and on, and against innocent requests that are refused for the company in which they
// ran: ends without a cause, resets and lost messages.
func TestModelPoisonIsBoundedAndInnocentsServed(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if err := run(seed, scenario{contents: int(seed % 3)}, none); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestModelSeveralPoisonsAtOnce guards against three poison requests that hide behind each
// other: they run side by side, and each end has several explanations.
func TestModelSeveralPoisonsAtOnce(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if err := run(seed, scenario{contents: 3, starts: seed%2 == 1}, none); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestModelPoisonWhileNodesStart guards against a poison request of which the nodes that
// reported its ends have been started anew.
func TestModelPoisonWhileNodesStart(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		if err := run(seed, scenario{contents: int(seed % 2), starts: true}, none); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestModelPoisonPart guards against a part of prompts that ends server after server in
// requests of which no two are alike, and against the refusal of sound requests that share
// the other parts: a part in the middle or the first, two parts at once, a part beside a
// poison content, a route with few sound requests, and starts of some or all nodes.
func TestModelPoisonPart(t *testing.T) {
	for name, s := range map[string]scenario{
		"middle":          {parts: 1},
		"middle, quiet":   {parts: 1, quiet: true},
		"same aside":      {parts: 1, quiet: true, sameAside: true},
		"first":           {parts: 1, firstPart: true},
		"first, aside":    {parts: 1, firstPart: true, sameAside: true},
		"two":             {parts: 2},
		"beside content":  {parts: 1, contents: 1},
		"nodes start":     {parts: 1, starts: true},
		"all nodes start": {parts: 1, allStart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*modelSeeds) {
				if err := run(seed, s, none); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// TestModelFindsMutations checks that the model finds each fault that it is to guard
// against.
func TestModelFindsMutations(t *testing.T) {
	for _, tc := range []struct {
		how  mutation
		play scenario
		want error // nil: any
	}{
		{nodesApart, scenario{contents: 1}, nil},
		{nodesApart, scenario{parts: 1}, nil},
		{answersIgnored, scenario{}, errInnocentRefused},
		{answersIgnored, scenario{parts: 1}, nil},
		{startsForgotten, scenario{contents: 1, starts: true}, nil},
		{startsForgotten, scenario{parts: 1, starts: true}, nil},
		{contentsOnly, scenario{parts: 1}, nil},
		{partsApart, scenario{parts: 1, quiet: true, sameAside: true}, errSoundRefused},
		{notStored, scenario{parts: 1, allStart: true}, nil},
		{cutAnswers, scenario{parts: 1}, nil},
		{cutAnswers, scenario{contents: 1}, nil},
	} {
		t.Run(fmt.Sprintf("%s, %+v", tc.how, tc.play), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*modelSeeds) {
				if err := run(seed, tc.play, tc.how); err != nil && (tc.want == nil || errors.Is(err, tc.want)) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not found in %d seeds", *modelSeeds)
		})
	}
}
