package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDelayOfMessages guards against delays that are missed after a pause, and against ones that
// never end after the sender's clock has stood still.
func TestDelayOfMessages(t *testing.T) {
	var d delays
	start := time.Unix(1_000_000, 0)
	observe := func(at, sent time.Duration) time.Duration {
		return d.observe(start.Add(at), 1, 5_000+sent.Milliseconds())
	}
	for at := time.Duration(0); at < time.Minute; at += 300 * time.Millisecond {
		assert.Equal(t, observe(at, at), time.Duration(0))
	}
	// This node stood still from 60 s to 100 s.
	for sent := time.Minute; sent < 65*time.Second; sent += 300 * time.Millisecond {
		assert.Equal(t, observe(100*time.Second, sent), 100*time.Second-sent)
	}
	assert.Equal(t, observe(100*time.Second, 100*time.Second), time.Duration(0))
	// The sender's clock stood still for 10 s.
	assert.Equal(t, observe(111*time.Second, 101*time.Second), 10*time.Second)
	for at := 112 * time.Second; at < 120*time.Second; at += 300 * time.Millisecond {
		observe(at, at-10*time.Second)
	}
	assert.Equal(t, observe(120*time.Second, 110*time.Second), time.Duration(0))
	assert.Equal(t, observe(121*time.Second, 111*time.Second+100*time.Millisecond), time.Duration(0), "a faster one")
	assert.Equal(t, d.observe(start.Add(122*time.Second), 1, 0), time.Duration(0), "a build that does not tell")
	assert.Equal(t, d.observe(start.Add(122*time.Second), 2, 1), time.Duration(0), "another run")
}
