package backend_test

import (
	"context"
	"fmt"
	"log/slog"

	"frosthub/backend"
)

// A program that embeds a backend parses a configuration, adds the operator's settings, and serves until its context is
// done. Serve returns once every request that it has read is answered.
func Example() {
	cfg, err := backend.ParseConfig([]byte(`{
		"name": "n1",
		"listen": "127.0.0.1:0",
		"processor": "127.0.0.1:1",
		"stop_ms": 400,
		"limits": {"cores": 1, "memory_mb": 192, "sockets": 64},
		"settings": {"servers": 1, "classes": [{"name": "status"}]}
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	cfg.Accounting = backend.AccountingConfig{MaxCustomers: 16}

	b := backend.New(cfg, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- b.Serve(ctx) }()

	counters := b.Counters()
	fmt.Println("open connections:", counters.Open, "unanswered requests:", counters.Pending)
	stop()
	fmt.Println("served:", <-served)
	// Output:
	// open connections: 0 unanswered requests: 0
	// served: <nil>
}

// An error for an invalid configuration names the fault in one line.
func ExampleParseConfig() {
	_, err := backend.ParseConfig([]byte(`{"name": "n1", "listen": "127.0.0.1:4100"}`))
	fmt.Println(err)
	// Output:
	// field "processor" is missing
}
