package settings

import (
	"fmt"
	"strconv"
	"time"
)

// Duration is a setting that holds a duration, such as 250ms or 24h.
type Duration struct {
	time.Duration
	raw string
	err error
}

// UnmarshalText parses a Go duration. It stores a parse error for Check instead of
// returning it, so that all invalid settings are reported together.
func (d *Duration) UnmarshalText(text []byte) error {
	d.raw = string(text)
	d.Duration, d.err = time.ParseDuration(d.raw)
	return nil
}

// MarshalText returns the duration in the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Duration.String()), nil }

func (d Duration) problem(lowest, highest string) string {
	if d.err != nil {
		return "is not a duration such as 250ms, 10s or 24h"
	}
	if low, err := time.ParseDuration(lowest); err == nil && d.Duration < low {
		return "is below " + lowest
	}
	if high, err := time.ParseDuration(highest); err == nil && d.Duration > high {
		return "is above " + highest
	}
	return ""
}

func (d Duration) text() string { return d.raw }

// Int is a setting that holds an integer.
type Int struct {
	Value int64
	raw   string
	err   error
}

// UnmarshalText parses a decimal integer. It stores a parse error for Check.
func (i *Int) UnmarshalText(text []byte) error {
	i.raw = string(text)
	i.Value, i.err = strconv.ParseInt(i.raw, 10, 64)
	return nil
}

// MarshalText returns the number in decimal.
func (i Int) MarshalText() ([]byte, error) { return strconv.AppendInt(nil, i.Value, 10), nil }

func (i Int) problem(lowest, highest string) string {
	if i.err != nil {
		return "is not a whole number"
	}
	if low, err := strconv.ParseInt(lowest, 10, 64); err == nil && i.Value < low {
		return "is below " + lowest
	}
	if high, err := strconv.ParseInt(highest, 10, 64); err == nil && i.Value > high {
		return "is above " + highest
	}
	return ""
}

func (i Int) text() string { return i.raw }

// Float is a setting that holds a floating-point number.
type Float struct {
	Value float64
	raw   string
	err   error
}

// UnmarshalText parses a floating-point number. It stores a parse error for Check.
func (f *Float) UnmarshalText(text []byte) error {
	f.raw = string(text)
	f.Value, f.err = strconv.ParseFloat(f.raw, 64)
	return nil
}

// MarshalText returns the shortest form that parses to the same value.
func (f Float) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%g", f.Value), nil }

func (f Float) problem(lowest, highest string) string {
	if f.err != nil || f.Value != f.Value { // NaN is not equal to itself
		return "is not a number"
	}
	if low, err := strconv.ParseFloat(lowest, 64); err == nil && f.Value < low {
		return "is below " + lowest
	}
	if high, err := strconv.ParseFloat(highest, 64); err == nil && f.Value > high {
		return "is above " + highest
	}
	return ""
}

func (f Float) text() string { return f.raw }
