package release_test

import (
	"context"
	"fmt"

	"github.com/redwingnotch/redwingnotch/release"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

const exampleNote = `
title: collar diagnosis
models:
  - id: lathe-diagnosis
    version: v3
    replicas: {cell-1: 2}
    memory: 14GiB
    load_time: 25s
    slots: 8
`

// A note is checked, published by one conditional write, and read back.
func Example() {
	ctx, store := context.Background(), objectapi.New()
	note, findings := release.ParseNote([]byte(exampleNote))
	if findings != nil {
		fmt.Println(findings)
		return
	}
	publisher := &release.Publisher{Store: store, Operator: "ana"}
	accepted, err := publisher.Publish(ctx, note)
	fmt.Println("accepted as version", accepted.Version, err)
	_, err = publisher.Publish(ctx, note)
	fmt.Println(err)
	_, state, err := release.ReadState(ctx, store)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, model := range state.Models("cell-1") {
		fmt.Println(model.ID, model.Version, "replicas:", model.MaxReplicas, "slots:", model.Slots)
	}
	// Output:
	// accepted as version 1 <nil>
	// the note changes nothing
	// lathe-diagnosis v3 replicas: 2 slots: 8
}

func ExampleParseNote() {
	_, findings := release.ParseNote([]byte("models:\n  - id: lathe-diagnosis\n    slots: none\n"))
	for _, finding := range findings {
		fmt.Println(finding.Field, "-", finding.Problem)
	}
	// Output:
	// models[0].load_time - missing
	// models[0].memory - missing
	// models[0].replicas - missing
	// models[0].version - missing
	// models[0].slots - want a whole number, not text
}
