package replicas

import (
	"maps"
	"time"
)

// Limits of what servers say of themselves.
const (
	// MaxPause limits the time for which a server may ask for no requests. A longer one, such
	// as that of a server whose clock is wrong, is cut to it.
	MaxPause        = 10 * time.Minute
	trialInterval   = 500 * time.Millisecond // time between two requests to a server that has not accepted one since its pause
	noticeRetention = 10 * time.Minute       // time for which the notice of a start that is not listed is kept
)

// startID identifies one start of a server.
type startID struct {
	id      string
	start   int64
	address string // only if the server does not report its start
}

// startOf returns the start that the entry describes.
func startOf(e Entry) startID {
	if e.Start != 0 {
		return startID{id: e.ID, start: e.Start}
	}
	return startID{id: e.ID, address: e.Address}
}

// notice holds what one start of a server has said of itself in its answers to this node.
// It outlives the server's entry, which may lapse and come back.
type notice struct {
	at        time.Time // when the server last said it
	leaving   bool      // the server stops; it accepts no further requests of this start
	pauseEnd  time.Time // end of the time for which it wants no requests; zero if there was none
	onTrial   bool      // it has not accepted a request since pauseEnd
	nextTrial time.Time // earliest time of the next request on trial
}

// noticeOf returns the notice of a start, which is created if there is none.
func (t *Table) noticeOf(now time.Time, e Entry) *notice {
	maps.DeleteFunc(t.notices, func(id startID, n *notice) bool {
		row := t.rows[id.id]
		return now.Sub(n.at) > noticeRetention && !now.Before(n.pauseEnd) && (row == nil || startOf(row.Entry) != id)
	})
	n := t.notices[startOf(e)]
	if n == nil {
		n = &notice{}
		t.notices[startOf(e)] = n
	}
	n.at = now
	if row := t.rows[e.ID]; row != nil && startOf(row.Entry) == startOf(e) {
		row.notice = n
	}
	return n
}

// RecordNotice records what the server has said of itself with a response to this node. It reports
// whether it was not known that the server is leaving.
func (t *Table) RecordNotice(now time.Time, e Entry, n Notice) bool {
	if n.RetryAfter > 0 {
		t.pause(now, e, n.RetryAfter)
	} else {
		t.accepted(now, e)
	}
	return n.Leaving && t.markLeaving(now, e)
}

// markLeaving records that the server is leaving. Only a later start of it is used again. It
// reports whether that was not known.
func (t *Table) markLeaving(now time.Time, e Entry) bool {
	n := t.noticeOf(now, e)
	before := n.leaving
	n.leaving = true
	if row := t.rows[e.ID]; row != nil && row.notice == n {
		row.Draining = true
		t.healthChanged(row)
	}
	return !before
}

// saidLeaving reports whether the server has said that it is leaving.
func (n *notice) saidLeaving() bool { return n != nil && n.leaving }

// pause records that the server has turned a request away and wants none for some time, of
// which at most MaxPause counts. A pause is never shortened by a later one.
func (t *Table) pause(now time.Time, e Entry, wait time.Duration) {
	n := t.noticeOf(now, e)
	if end := now.Add(min(wait, MaxPause)); end.After(n.pauseEnd) {
		n.pauseEnd, n.nextTrial, n.onTrial = end, end, true
	}
}

// accepted records that the server has answered a request other than by turning it away for
// some time. An answer that comes before a pause ends says nothing about the time after it.
func (t *Table) accepted(now time.Time, e Entry) {
	if n := t.notices[startOf(e)]; n != nil && !now.Before(n.pauseEnd) {
		n.onTrial = false
	}
}

// Paused reports whether the server wants no requests now, as it has said to this node.
func (t *Table) Paused(now time.Time, id string) bool {
	row := t.rows[id]
	return row != nil && row.paused(now)
}

// paused reports whether the server wants no requests now.
func (s *Server) paused(now time.Time) bool {
	return s.notice != nil && now.Before(s.notice.pauseEnd)
}

// betweenTrials reports whether the server may not get a request before the next trial.
func (s *Server) betweenTrials(now time.Time) bool {
	return s.notice != nil && s.notice.onTrial && now.Before(s.notice.nextTrial)
}

// beginTrial records that a request is sent to the server.
func (s *Server) beginTrial(now time.Time) {
	if s.notice != nil && s.notice.onTrial {
		s.notice.nextTrial = now.Add(trialInterval)
	}
}

// PauseEnd returns when the first of the servers that are ready for the request no longer
// turns requests away, or the zero time if none of them does.
func (t *Table) PauseEnd(now time.Time, req Requirement) time.Time {
	var first time.Time
	service := t.services[req.Service]
	if service == nil {
		return first
	}
	for _, s := range service.servers {
		if s.Draining || !s.paused(now) || !t.holds(now, s, req.Model, req.Adapter) {
			continue
		}
		if end := s.notice.pauseEnd; first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}
