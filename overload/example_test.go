package overload_test

import (
	"fmt"
	"time"

	"frosthub/overload"
)

// A server with one core receives two requests. The second one waits for the first and starts when the first has
// ended.
func Example() {
	controller := overload.New(1, overload.Settings{
		BatchInterval: time.Millisecond,
		Backend:       overload.Backend{Cores: 1},
		Handlers: []overload.Handler{{
			Name:           "status",
			Idempotency:    overload.Replayable,
			ClientTimeout:  overload.Some(2 * time.Second),
			ResponseTarget: overload.Some(time.Second),
		}},
	}, 0)

	handle := func(now time.Duration, events ...overload.Event) {
		for _, action := range controller.Handle(now, events) {
			switch action.Kind {
			case overload.SetTimer:
				fmt.Println(now, action.Kind, "at", action.At)
			case overload.Health:
				fmt.Println(now, action.Kind, action.Healthy)
			default:
				fmt.Println(now, action.Kind, action.ID)
			}
		}
	}
	handle(0,
		overload.Event{Kind: overload.Arrived, ID: 1},
		overload.Event{Kind: overload.Arrived, ID: 2},
	)
	handle(10*time.Millisecond, overload.Event{Kind: overload.Ended, ID: 1, Outcome: overload.OK})
	handle(25*time.Millisecond, overload.Event{Kind: overload.Timer})

	// Output:
	// 0s start 1
	// 0s health true
	// 0s wake at 25ms
	// 10ms start 2
	// 25ms wake at 50ms
}
