package fleet

import (
	"fmt"
	"strings"
)

// Names of the enum values in JSON, YAML and text, indexed by value. The names
// of ranks are in rankNames.
var (
	vmStateNames      = []string{"live", "leaving", "gone"}
	replicaStateNames = []string{"reserved", "loading", "ready", "unloading"}
	localityNames     = []string{"memory", "disk", "remote"}
)

// String returns the locality's name.
func (n Locality) String() string { return enumName("nearness", localityNames, uint8(n)) }

// MarshalText implements encoding.TextMarshaler.
func (r Rank) MarshalText() ([]byte, error) { return enumText("rank", rankNames[:], uint8(r)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rank) UnmarshalText(text []byte) error {
	return parseEnum((*uint8)(r), "rank", rankNames[:], text)
}

// MarshalText implements encoding.TextMarshaler.
func (s VMState) MarshalText() ([]byte, error) { return enumText("VM state", vmStateNames, uint8(s)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *VMState) UnmarshalText(text []byte) error {
	return parseEnum((*uint8)(s), "VM state", vmStateNames, text)
}

// MarshalText implements encoding.TextMarshaler.
func (s ReplicaState) MarshalText() ([]byte, error) {
	return enumText("replica state", replicaStateNames, uint8(s))
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *ReplicaState) UnmarshalText(text []byte) error {
	return parseEnum((*uint8)(s), "replica state", replicaStateNames, text)
}

// MarshalText implements encoding.TextMarshaler.
func (n Locality) MarshalText() ([]byte, error) { return enumText("nearness", localityNames, uint8(n)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *Locality) UnmarshalText(text []byte) error {
	return parseEnum((*uint8)(n), "nearness", localityNames, text)
}

// enumName returns the name of an enum value, or "typeName(value)" if it has none.
func enumName(typeName string, names []string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", typeName, value)
}

// enumText returns the name of an enum value as text, or an error if it has none.
func enumText(typeName string, names []string, value uint8) ([]byte, error) {
	if int(value) >= len(names) {
		return nil, fmt.Errorf("unknown %s value %d", typeName, value)
	}
	return []byte(names[value]), nil
}

// parseEnum sets the enum value to the one named by text. It accepts exact
// names only.
func parseEnum(value *uint8, typeName string, names []string, text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*value = uint8(i)
			return nil
		}
	}
	return fmt.Errorf("unknown %s %q, want one of %s", typeName, text, strings.Join(names, ", "))
}
