package backend

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"frosthub/internal/asynclog"
	"frosthub/internal/conn"
)

const (
	logFlushTimeout = 50 * time.Millisecond // for the log when the process exits: its reader may stall, and the kill is near

	// Retries to read a configuration file that is there and that the disk did not give.
	configRetryInterval = 200 * time.Millisecond
	configRetryTimeout  = 30 * time.Second // after SIGHUP
	startupRetryTimeout = 10 * time.Second // at the start: a node has 30 s to be ready
)

// Main runs one backend as a process, and returns when that may exit. It reads the platform's configuration, see Load,
// and logs to standard error. SIGTERM and SIGINT drain the backend, SIGHUP has it read the configuration again, and
// SIGUSR1 has it log its counters.
//
// Main calls configure to fill in the operator's part of each configuration that was read. It calls attach once with the
// backend, before that serves, to start what runs beside it; the function that attach returns is called when the backend
// has ended.
func Main(configure func(*Config) error, attach func(*Backend) (stop func(), err error)) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1) // first of all: unhandled they end the process
	defer signal.Stop(signals)
	// Both stay caught until the process has exited, also after stop: one that comes while Main returns changes nothing.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT) // a second one changes nothing
	defer stop()
	cfg, err := loadConfigAtStart(ctx, configure)
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may go: that ends nothing
	lines := asynclog.New(os.Stderr)
	defer lines.Flush(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(lines, nil))
	conn.Prepare(log)
	b := New(cfg, log)
	detach, err := attach(b)
	if err != nil {
		return err
	}
	defer detach()
	done := make(chan struct{})
	defer close(done)
	go b.handleSignals(signals, done, configure)
	return b.Serve(ctx)
}

// handleSignals carries out what signals ask for while the backend serves, until done is closed.
func (b *Backend) handleSignals(signals <-chan os.Signal, done <-chan struct{}, configure func(*Config) error) {
	var retry <-chan time.Time // the configuration file could not be read, and is to be
	var retryUntil time.Time
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				b.log.Info("counters", "counters", b.Counters())
				continue
			}
			retryUntil = time.Now().Add(configRetryTimeout)
		case <-retry:
		case <-done:
			return
		}
		retry = nil
		if err := b.reloadFile(configure); isUnreadable(err) && time.Now().Before(retryUntil) {
			retry = time.After(configRetryInterval)
		}
	}
}

// load reads the platform's configuration and has the operator's part filled in.
func loadConfig(configure func(*Config) error) (Config, error) {
	cfg, err := LoadConfig()
	if err == nil {
		err = configure(&cfg)
	}
	return cfg, err
}

// isUnreadable reports whether an error says that a file is there and the disk did not give it. That may pass.
func isUnreadable(err error) bool {
	var disk *fs.PathError
	return errors.As(err, &disk) && !errors.Is(err, fs.ErrNotExist)
}

// loadAtStart reads the configuration, and retries for a while where the disk does not give it.
func loadConfigAtStart(ctx context.Context, configure func(*Config) error) (Config, error) {
	for end := time.Now().Add(startupRetryTimeout); ; time.Sleep(configRetryInterval) {
		cfg, err := loadConfig(configure)
		if !isUnreadable(err) || ctx.Err() != nil || time.Now().After(end) {
			return cfg, err
		}
	}
}

// reloadFile reads the configuration again and has the backend use it. One that can't be used changes nothing. An
// unreadable one has to be tried again: the addresses that are in use may be gone for good.
func (b *Backend) reloadFile(configure func(*Config) error) error {
	cfg, err := loadConfig(configure)
	if err != nil {
		b.log.Error("configuration rejected", "reason", err)
		return err
	}
	b.Reload(cfg)
	return nil
}
