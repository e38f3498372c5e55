// Package cli implements the command line: the node itself and the commands with
// which operators inspect and control it.
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

// configVariable is the environment variable that holds the path of the operator's
// file.
const configVariable = "FROSTHUB_CONF"

// errReported is the error of a command that has printed its errors already. Run
// exits with status 1 and prints nothing more.
var errReported = errors.New("errors were reported")

// Run runs the command that the arguments name and returns the exit status: 0 on
// success, 1 after an error, which Run prints as one line on standard error.
func Run(args []string) int {
	cmd := rootCommand()
	cmd.SetArgs(args)
	err := cmd.Execute()
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
	cmd := &cobra.Command{
		Use:   "frosthub",
		Short: "Overload controller in front of a processor",
		Long: "frosthub runs one node of a fleet. Without a subcommand it does the same as serve.\n\n" +
			"PROXY_CONFIG holds the path of the platform's configuration, " + configVariable + " or --conf the path of the operator's file, which is optional.",
		Args:          cobra.NoArgs,
		RunE:          serve,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.PersistentFlags().StringVar(&configPath, "conf", os.Getenv(configVariable), "path of the operator's file")
	cmd.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve requests until SIGTERM",
			Args:  cobra.NoArgs,
			RunE:  serve,
		},
		checkCommand(),
		figuresCommand(),
		keepCommand(&configPath),
	)
	cmd.AddCommand(clusterCommands()...)
	return cmd
}

// serve runs a node until it receives SIGTERM. An empty configPath means that
// there is no operator's file.
func serve(configPath string) error {
	var operator conffile.Config
	configure := func(c *backend.Config) error { // called at the start and at each SIGHUP
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
		Short: "Validate operator's files or platform configurations (JSON)",
		Args:  cobra.MinimumNArgs(1),
		RunE:  checkFiles,
	}
}

func checkFiles(cmd *cobra.Command, files []string) error {
	out := newPrinter(cmd.OutOrStdout())
	failed := false
	for _, file := range files {
		if err := checkFile(file); err != nil {
			failed = true
			cmd.PrintErrln(err)
			continue
		}
		out.println(file + ": valid")
	}
	if out.err == nil && failed {
		return errReported
	}
	return out.err
}

// checkFile validates an operator's file or a platform configuration. A file that
// begins with a brace is a platform configuration, which is a JSON object.
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
