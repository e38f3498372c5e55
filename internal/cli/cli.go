// Package cli is the command line.
package cli

import (
	"errors"
	"fmt"
	"frosthub/backend"
	"frosthub/internal/admin"
	"frosthub/internal/conffile"
	"os"

	"github.com/spf13/cobra"
)

// confName names the operator's file in the environment.
const confName = "FROSTHUB_CONF"

// Run runs the command that the arguments name and gives the exit status: 0, or 1 with one line on standard error.
func Run(args []string) int {
	c := root()
	c.SetArgs(args)
	if err := c.Execute(); err != nil {
		if !errors.Is(err, errTold) {
			fmt.Fprintln(os.Stderr, "frosthub:", err)
		}
		return 1
	}
	return 0
}

// errTold is an error that was already told.
var errTold = errors.New("told")

func root() *cobra.Command {
	var conf string
	serve := func(*cobra.Command, []string) error { return serve(conf) }
	c := &cobra.Command{
		Use:   "frosthub",
		Short: "An overload controller in front of a processor",
		Long: "frosthub serves as one backend. Without a command it does what serve does.\n\n" +
			"PROXY_CONFIG names the platform's configuration; " + confName + " or --conf the operator's file, if there is one.",
		Args:          cobra.NoArgs,
		RunE:          serve,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c.PersistentFlags().StringVar(&conf, "conf", os.Getenv(confName), "the operator's file")
	c.AddCommand(&cobra.Command{Use: "serve", Short: "Serve as one backend until SIGTERM", Args: cobra.NoArgs, RunE: serve},
		checkCommand(), figuresCommand(), keepCommand(&conf))
	c.AddCommand(clusterCommands()...)
	return c
}

func serve(conf string) error {
	var op conffile.Config
	set := func(c *backend.Config) (err error) { // at the start, and anew at SIGHUP
		if conf != "" {
			if op, err = conffile.Load(conf); err != nil {
				return err
			}
		}
		c.Accounting, c.AJP, c.AJPUpstream, c.Idempotency, c.Cluster = op.Accounting, op.AJP, op.AJPUpstream, op.Idempotency, op.Cluster
		return nil
	}
	return backend.Main(set, func(b *backend.Backend) (func(), error) {
		if op.Admin == "" {
			return func() {}, nil
		}
		stop, _, err := admin.Serve(op.Admin, b, b.Log())
		return stop, err
	})
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check operator's files, or platform configurations (JSON)",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			bad := false
			for _, file := range files {
				if err := check(file); err != nil {
					bad = true
					fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintln(c.OutOrStdout(), file+": good")
			}
			if bad {
				return errTold
			}
			return nil
		},
	}
}

func check(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if len(text) > 0 && text[0] == '{' {
		if _, err := backend.Parse(text); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		return nil
	}
	_, err = conffile.Load(file)
	return err
}
