package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// Guards against an order that a peer forwards to its stopping owner after the drain delay, and that the end of the
// process leaves unknown: it must end as not run.
func TestOrderForwardedLateToItsStoppingOwnerIsNotBegun(t *testing.T) {
	env := newStoppingEnv(t, 100*time.Millisecond, 2*time.Second)
	env.service.SetFaults(emulator.ServiceFaults{Delay: emulator.Duration(time.Minute)})
	text, apiErr := env.instance.orders.issueTicket("desk")
	if apiErr != nil {
		t.Fatal(apiErr)
	}
	ticket, err := env.instance.orders.keys.ParseText(text)
	if err != nil {
		t.Fatal(err)
	}
	body, err := msgpack.Marshal(orderRequest{Service: "orders", Method: http.MethodPost, URI: "/orders/runs", ContentType: "application/json", Team: "desk", Body: []byte("{}")})
	if err != nil {
		t.Fatal(err)
	}
	// A request in progress keeps the instance from ending.
	first, rest := requestText("GET", "/orders/status", "")
	if _, err := io.WriteString(env.dial(), first+rest); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the request is at the service", func() bool { return env.service.Counters().Requests == 1 })
	env.cancel()
	eventually(t, "the drain delay is over", env.instance.refuses)
	forward := orders.OrderForward{Request: orders.RequestID{Entry: orders.Incarnation{1}, Number: 1, Attempt: 1}, Ticket: ticket, Body: body}
	env.instance.orders.receive(orders.Member{Incarnation: orders.Incarnation{1}}, forward)
	if got := env.instance.orders.ledger.Status(env.instance.now(), ticket); got.Kind != orders.NotRun {
		t.Errorf("the order is %s", got.Kind)
	}
	env.awaitStopped()
	if n := env.service.Counters().Requests; n != 1 {
		t.Errorf("the service got %d requests", n)
	}
}
