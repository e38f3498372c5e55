package backend

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"frosthub/internal/conn"
)

// Main runs one backend as a process: configuration from the environment, log on standard error, SIGTERM to
// leave, SIGUSR1 to print the counters.
func Main() error {
	cfg, err := Load()
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	conn.SetLog(log)
	b := New(cfg, log)
	usr1 := make(chan os.Signal, 1)
	signal.Notify(usr1, syscall.SIGUSR1)
	go func() {
		for range usr1 {
			log.Info("counters", "counters", b.Counters())
		}
	}()
	return b.Serve(ctx)
}
