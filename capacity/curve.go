package capacity

import (
	"math"
	"slices"
	"time"
)

// Parameters of the samples and of the boundary between good and bad loads.
const (
	binSamples   = 12              // samples kept of each bin of a curve
	keptSamples  = 48              // samples kept of other kinds
	sampleMaxAge = time.Minute     // older samples are dropped
	minSamples   = 12              // samples of a first estimate
	minEvidence  = 4               // least number of bad samples above a boundary, and of good ones below it
	minGain      = 4               // samples that a boundary explains, at least, beyond those that it contradicts
	boundPeriod  = 2 * time.Second // time constant by which a boundary is smoothed
)

// binBounds are the highest loads of the bins of a curve; the last bin has no bound. Each bin keeps
// its own samples, so that what high loads showed is remembered while loads are low.
var binBounds = [...]float64{1, 2, 3, 4, 6, 8, 11, 15, 21, 29, 40, 56, 78}

// binOf returns the bin of a load.
func binOf(load int) int {
	for i, bound := range binBounds {
		if float64(load) <= bound {
			return i
		}
	}
	return len(binBounds)
}

// sample is a value and when it was observed.
type sample struct {
	at    time.Time
	value float64
}

// samples are the latest samples of one kind.
type samples struct {
	kept []sample
	next int // position of the oldest one once most are kept
}

// add adds a sample, in place of the oldest one if there are most already.
func (s *samples) add(now time.Time, value float64, most int) {
	if len(s.kept) < most {
		s.kept = append(s.kept, sample{now, value})
		return
	}
	s.kept[s.next%most] = sample{now, value}
	s.next = (s.next + 1) % most
}

// expire drops the samples that are too old.
func (s *samples) expire(now time.Time) {
	if !slices.ContainsFunc(s.kept, func(k sample) bool { return now.Sub(k.at) > sampleMaxAge }) {
		return
	}
	s.kept = slices.Concat(s.kept[s.next:], s.kept[:s.next])
	s.kept = slices.DeleteFunc(s.kept, func(k sample) bool { return now.Sub(k.at) > sampleMaxAge })
	s.next = 0
}

// quantile returns a quantile of the values; false if there are none.
func (s *samples) quantile(q float64) (float64, bool) {
	if len(s.kept) == 0 {
		return 0, false
	}
	values := make([]float64, len(s.kept))
	for i, k := range s.kept {
		values[i] = k.value
	}
	slices.Sort(values)
	return quantileOf(values, q), true
}

// quantileOf returns a quantile of sorted values.
func quantileOf(sorted []float64, q float64) float64 {
	return sorted[int(math.Round(q*float64(len(sorted)-1)))]
}

// curve is how a time depends on the load, by the latest samples of each bin of loads. No form of
// the dependence is assumed: a batch of requests slows down little by little, until prompts come
// faster than they are computed, and then at once.
type curve struct {
	bins    [len(binBounds) + 1]samples
	medians [len(binBounds) + 1]float64 // of the bins, as of the latest boundary; zero of empty ones
	count   int                         // samples in all bins, as of the latest boundary
	latest  time.Time                   // when the latest sample was added
	log     float64                     // logarithm of the smoothed boundary
	logAt   time.Time                   // when log was last changed; zero if there is no boundary
}

// add adds a sample.
func (c *curve) add(now time.Time, load int, value float64) {
	c.bins[binOf(load)].add(now, value, binSamples)
	c.latest = now
}

// boundary returns the load up to which most times are within the limit and beyond which most are
// not: the one that contradicts the fewest samples. It is infinite if nothing shows that there is
// one, and unknown, with false, if there are too few samples.
func (c *curve) boundary(now time.Time, limit float64) (float64, bool) {
	var good, bad [len(binBounds) + 1]int
	allBad := 0
	c.count = 0
	for i := range c.bins {
		b := &c.bins[i]
		b.expire(now)
		c.medians[i], _ = b.quantile(0.5)
		for _, k := range b.kept {
			if k.value > limit {
				bad[i]++
			} else {
				good[i]++
			}
		}
		c.count += len(b.kept)
		allBad += bad[i]
	}
	best, contradicted := len(binBounds), allBad // all loads are good
	goodBelow, badBelow, goodAbove, badAbove := 0, 0, c.count-allBad, allBad
	for i := range binBounds {
		goodBelow, badBelow, goodAbove, badAbove = goodBelow+good[i], badBelow+bad[i], goodAbove-good[i], badAbove-bad[i]
		if n := badBelow + goodAbove; n < contradicted && goodBelow >= minEvidence && badAbove >= minEvidence {
			best, contradicted = i, n
		}
	}
	if best == len(binBounds) || allBad-contradicted < minGain {
		c.logAt = time.Time{}
		return math.Inf(1), c.count >= minSamples
	}
	return c.smooth(now, math.Log(binBounds[best])), c.count >= minSamples
}

// smooth returns the smoothed boundary, given the logarithm of the new one.
func (c *curve) smooth(now time.Time, log float64) float64 {
	keep := 0.0
	if !c.logAt.IsZero() {
		keep = math.Exp(-float64(now.Sub(c.logAt)) / float64(boundPeriod))
	}
	c.log, c.logAt = keep*c.log+(1-keep)*log, now
	return math.Exp(c.log)
}

// at returns the median time at a load, or at the nearest one with samples; false if there is none.
func (c *curve) at(load int) (float64, bool) {
	bin := binOf(load)
	for distance := range c.medians {
		for _, i := range [...]int{bin - distance, bin + distance} {
			if i >= 0 && i < len(c.medians) && c.medians[i] > 0 {
				return c.medians[i], true
			}
		}
	}
	return 0, false
}
