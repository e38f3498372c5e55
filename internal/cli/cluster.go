package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frosthub/backend"
)

const askFor = 3 * time.Second // a box on this machine

func clusterCommand() *cobra.Command {
	var address string
	var asJSON bool
	c := &cobra.Command{
		Use:   "cluster",
		Short: "Show how a running box sees its cluster, and what it holds and took over",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if address == "" {
				return errors.New("--admin: the address of the box's \"admin listen\"")
			}
			client := http.Client{Timeout: askFor}
			r, err := client.Get("http://" + address + "/cluster")
			if err != nil {
				return err
			}
			defer func() { _ = r.Body.Close() }()
			var s *backend.ClusterStats
			if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
				return fmt.Errorf("%s: not understood: %w", address, err)
			}
			if s == nil {
				return fmt.Errorf("%s: no cluster there, or its store is still being read", address)
			}
			out := c.OutOrStdout()
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				return e.Encode(s)
			}
			fmt.Fprintf(out, "cluster %s, life %d\n", s.Name, s.Life)
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "member\tlife\tstate\t")
			for _, m := range s.Members {
				fmt.Fprintf(w, "%s\t%d\t%s\t\n", m.Name, m.Life, m.State)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			k := s.Work
			fmt.Fprintf(out, "holds %d, waits for %d of others, notes %d for others (%d begun); taken over %d, lost to others %d, joined %d, in doubt %d\n",
				k.Held, k.Waiting, k.Notes, k.Begun, k.Taken, k.Lost, k.Joined, k.InDoubt)
			return nil
		},
	}
	c.Flags().StringVar(&address, "admin", "", "the address of the box's \"admin listen\"")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}
