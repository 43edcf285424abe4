package idempotency_test

import (
	"context"
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// orderService is a Runner that counts its runs.
type orderService struct{ runs int }

func (o *orderService) Run(context.Context, idempotency.Call) idempotency.Result {
	o.runs++
	response := idempotency.Response{Status: 201, Body: fmt.Appendf(nil, "order %d", o.runs)}
	return idempotency.Result{Outcome: fleet.OutcomeAnswered, Response: response}
}

// singleNode implements idempotency.Peers for a node without peers.
type singleNode struct{}

func (singleNode) Alive(idempotency.Owner) bool { return false }

func (singleNode) Forward(context.Context, idempotency.Owner, idempotency.Call) (idempotency.Result, error) {
	return idempotency.Result{}, context.Canceled
}

// A call that is sent twice with the same key runs once.
func Example() {
	core := idempotency.NewCore(idempotency.DefaultSettings(), idempotency.Owner{Node: "entry-1", Incarnation: 7}, []byte("random for each incarnation"))
	claims := idempotency.NewClaimStore(objectapi.New())
	logFailure := func(event string, key idempotency.Key, err error) { fmt.Println(event, key, err) }
	executor := idempotency.NewExecutor(core, claims, &orderService{}, singleNode{}, logFailure)
	call := idempotency.Call{
		Key:      "order-17",
		Service:  "ordering",
		Method:   "POST",
		Path:     "/orders",
		Body:     []byte("one spindle"),
		Deadline: time.Now().Add(time.Minute),
	}
	for range 2 {
		result := executor.Call(context.Background(), call)
		fmt.Printf("%s: %s, replayed: %t\n", result.Outcome, result.Response.Body, result.Replayed)
	}
	call.Body = []byte("two spindles")
	fmt.Println(executor.Call(context.Background(), call).Code)
	executor.Wait()
	// Output:
	// ran: order 1, replayed: false
	// ran: order 1, replayed: true
	// key_mismatch
}
