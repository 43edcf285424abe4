package replicas

import "time"

// SetLearnedSlots sets for each server how many requests it can run at once within their
// objective, as learned returns it. The choice of a server counts its load relative to them. A
// server is still full only at its Slots.
func (t *Table) SetLearnedSlots(learned func(e *Entry) float64) {
	for _, row := range t.rows {
		row.learnedSlots = learned(&row.Entry)
	}
}

// overstated returns by which factor the server's slots exceed the learned ones, 1 if they do not.
func (s *Server) overstated() float64 {
	if s.learnedSlots < 1 {
		return 1
	}
	return max(1, float64(s.Slots)/s.learnedSlots)
}

// Load returns the number of requests that the server is known to have; false if the server is
// unknown.
func (t *Table) Load(now time.Time, id string) (int, bool) {
	row := t.rows[id]
	if row == nil {
		return 0, false
	}
	return row.load(now), true
}
