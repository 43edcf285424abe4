package udp_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/membership"
	"github.com/redwingnotch/redwingnotch/membership/udp"
)

func TestSendDeliversDatagram(t *testing.T) {
	a, err := udp.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	b, err := udp.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan string, 1)
	done := make(chan error, 2)
	go func() { done <- b.Run(ctx, func(data []byte) { got <- string(data) }) }()
	go func() { done <- a.Run(ctx, func([]byte) {}) }()

	assert.NilError(t, a.Send([]membership.Datagram{{Addr: b.Addr(), Data: []byte("hello")}}))
	assert.Equal(t, <-got, "hello")
	cancel()
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
}

func TestSendTriesAllAddresses(t *testing.T) {
	a, err := udp.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	err = a.Send([]membership.Datagram{{Addr: "nowhere"}, {Addr: "also-nowhere"}})
	assert.ErrorContains(t, err, `"nowhere"`)
	assert.ErrorContains(t, err, `"also-nowhere"`)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, a.Run(ctx, func([]byte) {}))
}

func TestListenRejectsHostNames(t *testing.T) {
	_, err := udp.Listen("localhost:1")
	assert.ErrorContains(t, err, "gossip address")
}
