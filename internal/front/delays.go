package front

import "time"

// delayWindow is the least time over which the fastest message of a sender is looked for. A lasting
// difference, as after the sender's machine was suspended with its clock, is not a delay.
const delayWindow = 3 * time.Second

// delays estimates how long the messages of one run of a sender were under way, or lay in the
// socket's buffer while this process stood still. The clocks of two nodes can't be compared, but
// the difference between the times of sending and receipt is least for the fastest message.
type delays struct {
	run           int64     // incarnation of the sender
	began         time.Time // beginning of the window
	least, before int64     // least difference in the window and in the one before it, in milliseconds
}

// observe returns for how much longer a message was under way than the fastest one lately. sentMS
// is the sender's clock at its sending; zero if that is unknown.
func (d *delays) observe(now time.Time, run, sentMS int64) time.Duration {
	if sentMS == 0 {
		return 0
	}
	difference := now.UnixMilli() - sentMS
	switch {
	case d.began.IsZero() || d.run != run:
		*d = delays{run: run, began: now, least: difference, before: difference}
	case now.Sub(d.began) >= delayWindow:
		d.began, d.before, d.least = now, d.least, difference
	}
	d.least = min(d.least, difference)
	return time.Duration(difference-min(d.least, d.before)) * time.Millisecond
}
