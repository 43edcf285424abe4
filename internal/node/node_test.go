package node_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/node"
)

func TestOneNodeControlsTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		for _, name := range []string{"n1", "n2", "n3"} {
			d.start(name)
		}
		time.Sleep(settleTime)
		_, count := d.holder()
		assert.Equal(t, count, 1)
		body := d.send("n1", "GET", "/v1/entry", "").body
		assert.Equal(t, strings.Count(body, `"address"`), 3, body)
	})
}

func TestSecondNodeOfANameRefusesToStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		d.start("n1")
		time.Sleep(settleTime)
		second := d.startAt("n1", "other")
		err := <-second.err
		assert.Assert(t, errors.Is(err, node.ErrNameInUse), "%v", err)
		assert.ErrorContains(t, err, "n1 runs at n1:81")
		delete(d.nodes, "other")
	})
}

func TestHandoverOnAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		for _, name := range []string{"n1", "n2", "n3"} {
			d.start(name)
		}
		time.Sleep(settleTime)
		first, _ := d.holder()
		leaving := d.nodes[first]
		leaving.stop()
		time.Sleep(3 * time.Second)
		next, count := d.holder()
		assert.Equal(t, count, 1)
		assert.Assert(t, next != first)
		body := d.send(next, "GET", "/v1/entry", "").body
		assert.Equal(t, strings.Count(body, `"address"`), 2, body)
		assert.NilError(t, <-leaving.err)
		delete(d.nodes, first)
	})
}
