// Package cli implements the command line: the backend itself, and the commands
// with which operators inspect and change it.
package cli

import (
	"errors"
	"fmt"
	"os"

	"frosthub/backend"
	"frosthub/internal/admin"
	"frosthub/internal/conffile"

	"github.com/spf13/cobra"
)

// configVariable names the operator's file in the environment.
const configVariable = "FROSTHUB_CONF"

// errReported is returned by a command that has printed its errors itself.
var errReported = errors.New("errors were reported")

// Run runs the command that the arguments name and returns the exit status: 0,
// or 1 after an error, which is printed as one line on standard error.
func Run(args []string) int {
	c := rootCommand()
	c.SetArgs(args)
	err := c.Execute()
	if err == nil {
		return 0
	}
	if !errors.Is(err, errReported) {
		fmt.Fprintln(os.Stderr, "frosthub:", err)
	}
	return 1
}

func rootCommand() *cobra.Command {
	var configPath string
	serve := func(*cobra.Command, []string) error { return serve(configPath) }
	c := &cobra.Command{
		Use:   "frosthub",
		Short: "An overload controller in front of a processor",
		Long: "frosthub serves as one backend. Without a command it does what serve does.\n\n" +
			"PROXY_CONFIG names the platform's configuration; " + configVariable + " or --conf the operator's file, if there is one.",
		Args:          cobra.NoArgs,
		RunE:          serve,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c.PersistentFlags().StringVar(&configPath, "conf", os.Getenv(configVariable), "the operator's file")
	c.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve as one backend until SIGTERM",
			Args:  cobra.NoArgs,
			RunE:  serve,
		},
		checkCommand(),
		figuresCommand(),
		keepCommand(&configPath),
	)
	c.AddCommand(clusterCommands()...)
	return c
}

// serve runs a backend until it is told to stop. The path of the operator's file
// may be empty.
func serve(configPath string) error {
	var operator conffile.Config
	configure := func(c *backend.Config) error { // at the start, and again at SIGHUP
		if configPath != "" {
			loaded, err := conffile.Load(configPath)
			operator = loaded
			if err != nil {
				return err
			}
		}
		c.Accounting = operator.Accounting
		c.AJP = operator.AJP
		c.AJPUpstream = operator.AJPUpstream
		c.Idempotency = operator.Idempotency
		c.Cluster = operator.Cluster
		return nil
	}
	return backend.Main(configure, func(b *backend.Backend) (func(), error) {
		if operator.Admin == "" {
			return func() {}, nil
		}
		stop, _, err := admin.Serve(operator.Admin, b, b.Logger())
		return stop, err
	})
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check operator's files, or platform configurations (JSON)",
		Args:  cobra.MinimumNArgs(1),
		RunE:  checkFiles,
	}
}

func checkFiles(c *cobra.Command, files []string) error {
	out := newPrinter(c.OutOrStdout())
	failed := false
	for _, file := range files {
		if err := checkFile(file); err != nil {
			failed = true
			c.PrintErrln(err)
			continue
		}
		out.println(file + ": good")
	}
	if out.err == nil && failed {
		return errReported
	}
	return out.err
}

// checkFile reads a file of either kind: platform configurations are JSON objects.
func checkFile(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if len(text) == 0 || text[0] != '{' {
		_, err := conffile.Load(file)
		return err
	}
	if _, err := backend.ParseConfig(text); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
