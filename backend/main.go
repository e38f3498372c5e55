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
	logFlushTimeout = 50 * time.Millisecond // at exit: the reader of the log may have stalled, and the process is killed soon

	// Retries of a read of the configuration file that failed although the file exists.
	configRetryInterval = 200 * time.Millisecond
	configRetryTimeout  = 30 * time.Second // after SIGHUP
	startupRetryTimeout = 10 * time.Second // at startup: a node has 30 s to become ready
)

// Main runs one backend as a process, and returns when the process may exit. It reads the platform's configuration, see
// LoadConfig, and logs to standard error. SIGTERM and SIGINT drain the backend, SIGHUP reloads the configuration, and
// SIGUSR1 logs the counters.
//
// Main calls configure to fill in the operator's part of each configuration that it has read. Before the backend
// serves, Main calls attach once with it, to start servers that run next to the backend. The stop function that attach
// returns is called when the backend has ended. Main returns an error if the configuration can't be loaded, if attach
// fails, or if Serve fails.
func Main(configure func(*Config) error, attach func(*Backend) (stop func(), err error)) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1) // before anything else: unhandled, they end the process
	defer signal.Stop(signals)
	// SIGTERM and SIGINT stay caught until the process has exited, also after stop, so that a signal that arrives while
	// Main returns has no effect.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT) // a second signal has no effect
	defer stop()
	cfg, err := loadConfigAtStart(ctx, configure)
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	signal.Ignore(syscall.SIGPIPE) // the process that reads the log may exit; writing to it must not end this one
	logWriter := asynclog.New(os.Stderr)
	defer logWriter.Flush(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(logWriter, nil))
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

// handleSignals handles SIGHUP and SIGUSR1 while the backend serves, until done is closed.
func (b *Backend) handleSignals(signals <-chan os.Signal, done <-chan struct{}, configure func(*Config) error) {
	var retry <-chan time.Time // set while a read of the configuration file has to be retried
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

// loadConfig reads the platform's configuration and calls configure to fill in the operator's part.
func loadConfig(configure func(*Config) error) (Config, error) {
	cfg, err := LoadConfig()
	if err == nil {
		err = configure(&cfg)
	}
	return cfg, err
}

// isUnreadable reports whether err is a failure to read a file that exists. Such an error may be temporary.
func isUnreadable(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError) && !errors.Is(err, fs.ErrNotExist)
}

// loadConfigAtStart loads the configuration, and retries for up to startupRetryTimeout while the file can't be read.
func loadConfigAtStart(ctx context.Context, configure func(*Config) error) (Config, error) {
	for deadline := time.Now().Add(startupRetryTimeout); ; time.Sleep(configRetryInterval) {
		cfg, err := loadConfig(configure)
		if !isUnreadable(err) || ctx.Err() != nil || time.Now().After(deadline) {
			return cfg, err
		}
	}
}

// reloadFile reads the configuration again and applies it. An invalid configuration changes nothing. If the file can't
// be read, the caller has to retry, since the addresses in use may be gone for good.
func (b *Backend) reloadFile(configure func(*Config) error) error {
	cfg, err := loadConfig(configure)
	if err != nil {
		b.log.Error("configuration rejected", "reason", err)
		return err
	}
	b.Reload(cfg)
	return nil
}
