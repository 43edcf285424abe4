package fleet

import (
	"fmt"
	"strings"
)

// The enumerations are written by name in JSON and YAML.

var (
	vmStateNames      = []string{"live", "leaving", "gone"}
	replicaStateNames = []string{"reserved", "loading", "ready", "unloading"}
	nearnessNames     = []string{"memory", "disk", "remote"}
)

// String returns the place's name.
func (n Nearness) String() string { return nameOf("nearness", nearnessNames, uint8(n)) }

// MarshalText implements encoding.TextMarshaler.
func (r Rank) MarshalText() ([]byte, error) { return textOf("rank", rankNames[:], uint8(r)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rank) UnmarshalText(text []byte) error {
	return parseInto((*uint8)(r), "rank", rankNames[:], text)
}

// MarshalText implements encoding.TextMarshaler.
func (s VMState) MarshalText() ([]byte, error) { return textOf("VM state", vmStateNames, uint8(s)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *VMState) UnmarshalText(text []byte) error {
	return parseInto((*uint8)(s), "VM state", vmStateNames, text)
}

// MarshalText implements encoding.TextMarshaler.
func (s ReplicaState) MarshalText() ([]byte, error) {
	return textOf("replica state", replicaStateNames, uint8(s))
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *ReplicaState) UnmarshalText(text []byte) error {
	return parseInto((*uint8)(s), "replica state", replicaStateNames, text)
}

// MarshalText implements encoding.TextMarshaler.
func (n Nearness) MarshalText() ([]byte, error) { return textOf("nearness", nearnessNames, uint8(n)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *Nearness) UnmarshalText(text []byte) error {
	return parseInto((*uint8)(n), "nearness", nearnessNames, text)
}

func nameOf(what string, names []string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", what, value)
}

func textOf(what string, names []string, value uint8) ([]byte, error) {
	if int(value) >= len(names) {
		return nil, fmt.Errorf("unknown %s %d", what, value)
	}
	return []byte(names[value]), nil
}

func parseInto(to *uint8, what string, names []string, text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*to = uint8(i)
			return nil
		}
	}
	return fmt.Errorf("unknown %s %q, want one of %s", what, text, strings.Join(names, ", "))
}
