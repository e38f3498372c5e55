package backend

import (
	"context"
	"errors"
	"frosthub/internal/asynclog"
	"frosthub/internal/conn"
	"io/fs"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	lastLines     = 50 * time.Millisecond  // for the log when the process ends: it may be held, and the kill is near
	rereadEvery   = 200 * time.Millisecond // between tries to read a configuration that the disk did not give
	rereadFor     = 30 * time.Second       // and for how long after SIGHUP
	rereadAtStart = 10 * time.Second       // and at the start: a node has 30 s to be ready
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
	cfg, err := loadAtStart(ctx, set)
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	signal.Ignore(syscall.SIGPIPE) // who reads the log may go: that ends nothing
	lines := asynclog.New(os.Stderr)
	defer lines.Flush(lastLines)
	log := slog.New(slog.NewTextHandler(lines, nil))
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
		var again <-chan time.Time // the configuration could not be read, and is to be
		var until time.Time
		for {
			select {
			case s := <-asked:
				if s == syscall.SIGUSR1 {
					b.log.Info("counters", "counters", b.Counters())
					continue
				}
				until = time.Now().Add(rereadFor)
			case <-again:
			case <-done:
				return
			}
			again = nil
			if b.reread(set) && time.Now().Before(until) {
				again = time.After(rereadEvery)
			}
		}
	}()
	return b.Serve(ctx)
}

// load reads the platform's configuration and puts the operator's in; unread tells that a file is there and the disk did not give it.
func load(set func(*Config) error) (cfg Config, unread bool, err error) {
	cfg, err = Load()
	if err == nil {
		err = set(&cfg)
	}
	var disk *fs.PathError
	return cfg, errors.As(err, &disk) && !errors.Is(err, fs.ErrNotExist), err
}

// loadAtStart reads the configuration, for a while again where the disk does not give it.
func loadAtStart(ctx context.Context, set func(*Config) error) (Config, error) {
	for end := time.Now().Add(rereadAtStart); ; time.Sleep(rereadEvery) {
		cfg, unread, err := load(set)
		if !unread || ctx.Err() != nil || time.Now().After(end) {
			return cfg, err
		}
	}
}

// reread reads the configuration anew. One that can't be used changes nothing; it tells whether the file could not be read at all, as
// where a disk fails for a while: the addresses of before may be gone for good, so it is tried again.
func (b *Backend) reread(set func(*Config) error) (unread bool) {
	cfg, unread, err := load(set)
	if err != nil {
		b.log.Error("configuration not taken", "why", err)
		return unread
	}
	b.Reload(cfg)
	return false
}
