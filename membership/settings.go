package membership

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// TickInterval is the interval at which the caller calls Core.Tick.
const TickInterval = 100 * time.Millisecond

// Limits on what a node sends and stores.
const (
	MaxPacketBytes    = 1200 // size limit of a datagram, in bytes
	MaxItemKeyBytes   = 64   // size limit of Item.Key, in bytes
	MaxItemValueBytes = 128  // size limit of Item.Value, in bytes
	MaxItems          = 2048 // maximum number of stored items of all kinds
	MaxMembers        = 4096 // maximum number of other members in the table, including dead and left ones
	MinSecretBytes    = 16   // minimum length of the cluster secret, in bytes
)

// Settings holds the intervals and time limits of the protocol.
type Settings struct {
	ProbeInterval     time.Duration // interval between probes
	DirectTimeout     time.Duration // wait for an ACK before indirect probes are sent; below ProbeTimeout
	ProbeTimeout      time.Duration // wait for a direct or indirect ACK before the member is suspected
	SuspicionBase     time.Duration // time from suspicion to death with up to ten members; grows with the logarithm of their number
	GossipInterval    time.Duration // interval between packets that carry only updates
	CompareInterval   time.Duration // interval between comparisons of digests with a random member
	RejoinInterval    time.Duration // interval between pings to dead members and seeds; expired items are removed at the same time
	StoppedRetention  time.Duration // time for which dead and left members stay in the table
	PauseLimit        time.Duration // time between calls of Tick or Receive above which the node counts as paused
	StandaloneTimeout time.Duration // time after the start or a pause at which a node without reachable members may act
	MaxClockSkew      time.Duration // maximum difference between a packet's send time and the local time
}

// DefaultSettings returns settings with which all nodes of a deployment of up to
// ten members learn of a planned stop within 2 s and of a crash within 5 s.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:     500 * time.Millisecond,
		DirectTimeout:     200 * time.Millisecond,
		ProbeTimeout:      500 * time.Millisecond,
		SuspicionBase:     1500 * time.Millisecond,
		GossipInterval:    200 * time.Millisecond,
		CompareInterval:   5 * time.Second,
		RejoinInterval:    2 * time.Second,
		StoppedRetention:  10 * time.Minute,
		PauseLimit:        time.Second,
		StandaloneTimeout: 5 * time.Second,
		MaxClockSkew:      time.Minute,
	}
}

// Validate returns all invalid settings as one joined error.
func (s Settings) Validate() error {
	var errs []error
	for _, f := range []struct {
		name  string
		value time.Duration
	}{
		{"probe interval", s.ProbeInterval}, {"direct timeout", s.DirectTimeout},
		{"probe timeout", s.ProbeTimeout}, {"suspicion base", s.SuspicionBase},
		{"gossip interval", s.GossipInterval}, {"compare interval", s.CompareInterval},
		{"rejoin interval", s.RejoinInterval}, {"retention of dead and left members", s.StoppedRetention},
		{"pause limit", s.PauseLimit}, {"standalone timeout", s.StandaloneTimeout}, {"clock skew", s.MaxClockSkew},
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

// suspicionTimeout returns the time from suspicion to death in a deployment of n
// members.
func (s Settings) suspicionTimeout(n int) time.Duration {
	factor := math.Max(1, math.Log10(float64(n)))
	return time.Duration(float64(s.SuspicionBase) * factor)
}

// transmitFactor scales the number of times that each node sends an update.
const transmitFactor = 4

// transmitLimit returns the number of times that a node sends one update in a
// deployment of n members. It grows with the logarithm of n.
func transmitLimit(n int) int {
	return transmitFactor * int(math.Ceil(math.Log10(float64(n+1))))
}

// Up to smallClusterSize members, smallClusterProbes members are probed per
// interval to speed up failure detection.
const (
	smallClusterSize   = 32
	smallClusterProbes = 2
)

// probesPerInterval returns the number of members to probe per interval in a
// deployment of n members.
func probesPerInterval(n int) int {
	if n <= smallClusterSize {
		return smallClusterProbes
	}
	return 1
}
