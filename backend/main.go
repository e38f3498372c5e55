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
// leave, SIGHUP to read the configuration anew, SIGUSR1 to print the counters. The operator's settings are put in by set;
// up starts what is served beside it, and gives what ends that.
func Main(set func(*Config) error, up func(*Backend) (stop func(), err error)) error {
	asked := make(chan os.Signal, 8)
	signal.Notify(asked, syscall.SIGHUP, syscall.SIGUSR1) // before all else: unheeded they end the process
	defer signal.Stop(asked)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT) // a second one changes nothing
	defer stop()
	cfg, err := Load()
	if err != nil {
		return err
	}
	if err := set(&cfg); err != nil {
		return err
	}
	cfg.Limits.Apply()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	conn.Prepare(log)
	b := New(cfg, log)
	end, err := up(b)
	if err != nil {
		return err
	}
	defer end()
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case s := <-asked:
				b.heed(s, set)
			case <-done:
				return
			}
		}
	}()
	return b.Serve(ctx)
}

// heed follows a signal. A configuration that can't be used changes nothing.
func (b *Backend) heed(s os.Signal, set func(*Config) error) {
	if s == syscall.SIGUSR1 {
		b.log.Info("counters", "counters", b.Counters())
		return
	}
	cfg, err := Load()
	if err == nil {
		err = set(&cfg)
	}
	if err != nil {
		b.log.Error("configuration not taken", "why", err)
		return
	}
	b.Reload(cfg)
}
