package membership

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// TickInterval is how often the caller calls Core.Tick.
const TickInterval = 100 * time.Millisecond

// Limits of what a node sends and keeps.
const (
	MaxPacketBytes    = 1200 // of one datagram
	MaxItemKeyBytes   = 64
	MaxItemValueBytes = 128
	MaxItems          = 2048 // kept, of all kinds
	MaxMembers        = 4096 // kept, gone ones included
	MinSecretBytes    = 16
)

// Settings are the times of the failure detector.
type Settings struct {
	ProbeInterval   time.Duration // between probes
	DirectTimeout   time.Duration // for an answer before indirect probes are sent
	ProbeTimeout    time.Duration // for any answer before the member is suspected
	SuspicionBase   time.Duration // from suspicion to death with up to ten members; grows with the logarithm of their number
	GossipInterval  time.Duration // between packets that carry only updates
	CompareInterval time.Duration // between comparisons of digests
	RejoinInterval  time.Duration // between pings to gone members and seeds
	RetainGone      time.Duration // for which gone members are kept
	PauseLimit      time.Duration // between ticks beyond which the node counts as paused
	AloneAfter      time.Duration // without any answer and without known peers, after which a node may act alone
	MaxClockSkew    time.Duration // of a packet's time beyond which it is ignored
}

// DefaultSettings returns the settings that meet the stated times: a planned
// stop known within 2 s, a crash within 5 s with up to ten members.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:   500 * time.Millisecond,
		DirectTimeout:   200 * time.Millisecond,
		ProbeTimeout:    500 * time.Millisecond,
		SuspicionBase:   1500 * time.Millisecond,
		GossipInterval:  200 * time.Millisecond,
		CompareInterval: 5 * time.Second,
		RejoinInterval:  2 * time.Second,
		RetainGone:      10 * time.Minute,
		PauseLimit:      time.Second,
		AloneAfter:      5 * time.Second,
		MaxClockSkew:    time.Minute,
	}
}

// Validate returns all faults of the settings, joined.
func (s Settings) Validate() error {
	var errs []error
	for _, f := range []struct {
		name  string
		value time.Duration
	}{
		{"probe interval", s.ProbeInterval}, {"direct timeout", s.DirectTimeout},
		{"probe timeout", s.ProbeTimeout}, {"suspicion base", s.SuspicionBase},
		{"gossip interval", s.GossipInterval}, {"compare interval", s.CompareInterval},
		{"rejoin interval", s.RejoinInterval}, {"retention of gone members", s.RetainGone},
		{"pause limit", s.PauseLimit}, {"alone after", s.AloneAfter}, {"clock skew", s.MaxClockSkew},
	} {
		if f.value < TickInterval {
			errs = append(errs, fmt.Errorf("%s %v is below the tick interval %v", f.name, f.value, TickInterval))
		}
	}
	if s.DirectTimeout >= s.ProbeTimeout {
		errs = append(errs, fmt.Errorf("direct timeout %v is not below the probe timeout %v", s.DirectTimeout, s.ProbeTimeout))
	}
	return errors.Join(errs...)
}

// suspicion returns the time from suspicion to death among n members.
func (s Settings) suspicion(n int) time.Duration {
	factor := math.Max(1, math.Log10(float64(n)))
	return time.Duration(float64(s.SuspicionBase) * factor)
}

// transmitFactor scales how often each update is sent on by each node.
const transmitFactor = 4

// transmitLimit returns how often a node sends one update among n members.
func transmitLimit(n int) int {
	return transmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
}

// smallCluster is the number of members up to which probes go to
// smallClusterProbes members at a time, so that a crash is found soon.
const (
	smallCluster       = 32
	smallClusterProbes = 2
)

// probesAtOnce returns the number of members to probe at each interval.
func probesAtOnce(n int) int {
	if n <= smallCluster {
		return smallClusterProbes
	}
	return 1
}
