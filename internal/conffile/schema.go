package conffile

import (
	"errors"
	"fmt"
	"frosthub/backend"
	"frosthub/failover"
	"frosthub/internal/statsfile"
	"frosthub/loadbalance"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Directive is one that may stand in the file.
type Directive struct {
	Name       string
	Args       []Argument
	Options    []Argument                              // that may follow, as name=value, for the last of its kind
	Repeatable bool                                    // it may stand more than once
	Requires   string                                  // another directive without which it says nothing
	Check      func(c *Config) (what, expected string) // once all is read; what is wrong with it beside others
	Help       string
}

// Argument is a value of a directive, or a fixed word between values.
type Argument struct {
	Name string
	Word string // fixed
	Kind string // what a value is, for messages
	Set  func(c *Config, v string) error
}

// Expected tells what must stand there.
func (a Argument) Expected() string {
	if a.Word != "" {
		return fmt.Sprintf("%q", a.Word)
	}
	return a.Kind
}

const (
	headerMost = 64 // bytes of the name of a header
	secretMost = 256
	periodsTop = 10080
	customers  = 1024
	entriesTop = 100_000_000 // keys: some 20 GB
	bytesTop   = 1 << 34
)

// Directives are all that there are.
var Directives = []Directive{
	{
		Name: "admin listen", Help: "serve /metrics and /figures to programs on this machine",
		Args: []Argument{{Name: "address", Kind: "a loopback address and a port, as 127.0.0.1:9180", Set: loopback}},
	},
	{
		Name: "ajp listen", Help: "serve front ends that speak AJP/1.3 there",
		Args: []Argument{{Name: "address", Kind: "an address and a port, as 127.0.0.1:8009", Set: func(c *Config, v string) error {
			c.AJP.Listen = v
			return listens(v, "no address", func(net.IP) bool { return true })
		}}},
	},
	{
		Name: "ajp secret file", Requires: "ajp listen", Help: "what each req over AJP must bring; the file's first line",
		Args: []Argument{{Name: "path", Kind: "a file that can be read, with one line", Set: func(c *Config, v string) error {
			var err error
			c.AJP.Secret, err = secret(v)
			return err
		}}},
	},
	{
		Name: "ajp packet", Requires: "ajp listen", Help: "bytes of a packet of AJP at most, as the front ends have it",
		Args: []Argument{{Name: "number", Kind: "a number from 8192 to 65535", Set: func(c *Config, v string) (err error) {
			c.AJP.MaxPacket, err = whole(v, 8192, 65535)
			return err
		}}},
	},
	{
		Name: "next-tier ajp", Repeatable: true, Help: "make calls to this server over AJP; one line for each",
		Args: []Argument{{Name: "address", Kind: "an address and a port, as 127.0.0.1:8009", Set: func(c *Config, v string) error {
			if _, _, err := net.SplitHostPort(v); err != nil {
				return errors.New("no address with a port")
			}
			for _, p := range c.AJPUpstream.Balancer.Peers {
				if p.Address == v {
					return errors.New("it is there already")
				}
			}
			c.AJPUpstream.Balancer.Peers = append(c.AJPUpstream.Balancer.Peers, loadbalance.Peer{Address: v})
			return nil
		}}},
		Options: []Argument{
			{Name: "weight", Kind: "a number from 1 to 1000", Set: func(c *Config, v string) error {
				n, err := whole(v, 1, 1000)
				c.lastPeer().Weight = float64(n)
				return err
			}},
			{Name: "route", Kind: "the name of a worker", Set: func(c *Config, v string) error {
				if v == "" || len(v) > headerMost {
					return errors.New("no name")
				}
				c.lastPeer().Route = v
				return nil
			}},
			{Name: "most", Kind: "a number from 1 to 10000", Set: func(c *Config, v string) (err error) {
				c.lastPeer().MaxCalls, err = whole(v, 1, 10000)
				return err
			}},
		},
	},
	{
		Name: "next-tier secret file", Requires: "next-tier ajp", Help: "what each call brings; the file's first line",
		Args: []Argument{{Name: "path", Kind: "a file that can be read, with one line", Set: func(c *Config, v string) (err error) {
			c.AJPUpstream.Secret, err = secret(v)
			return err
		}}},
	},
	{
		Name: "route eject", Requires: "next-tier ajp", Help: "faults in a row that put a peer out of service, and for how long: doubled each time",
		Args: []Argument{
			{Name: "number", Kind: "a number from 1 to 100", Set: func(c *Config, v string) (err error) {
				c.AJPUpstream.Balancer.MaxConsecutiveFaults, err = whole(v, 1, 100)
				return err
			}},
			{Name: "word", Word: "for"},
			{Name: "span", Kind: "a span from 10ms to 1h", Set: func(c *Config, v string) (err error) {
				c.AJPUpstream.Balancer.EjectionTime, err = span(v, 10*time.Millisecond, time.Hour)
				return err
			}},
			{Name: "word", Word: "to"},
			{Name: "span", Kind: "a span, not under the first", Set: func(c *Config, v string) (err error) {
				c.AJPUpstream.Balancer.MaxEjectionTime, err = span(v, c.AJPUpstream.Balancer.EjectionTime, time.Hour)
				return err
			}},
		},
	},
	{
		Name: "route trial", Requires: "next-tier ajp", Help: "share of the calls that a returning peer gets, and how many must go well",
		Args: []Argument{
			{Name: "share", Kind: "a share from 1% to 100%", Set: func(c *Config, v string) (err error) {
				c.AJPUpstream.Balancer.TrialShare, err = percent(v)
				return err
			}},
			{Name: "word", Word: "passes"},
			{Name: "number", Kind: "a number from 1 to 1000", Set: func(c *Config, v string) (err error) {
				c.AJPUpstream.Balancer.TrialSuccesses, err = whole(v, 1, 1000)
				return err
			}},
		},
	},
	{
		Name: "route floor", Requires: "next-tier ajp", Help: "share of the peers that stay in service whatever their faults",
		Args: []Argument{{Name: "share", Kind: "a share from 1% to 100%", Set: func(c *Config, v string) (err error) {
			c.AJPUpstream.Balancer.MinHealthyShare, err = percent(v)
			return err
		}}},
	},
	{
		Name: "route budget", Requires: "next-tier ajp", Help: "further tries as a share of first ones",
		Args: []Argument{{Name: "share", Kind: "a share from 1% to 100%", Set: func(c *Config, v string) (err error) {
			c.AJPUpstream.Balancer.RetryBudget, err = percent(v)
			return err
		}}},
	},
	{
		Name: "keep dir", Help: "keep there what must not run twice, and its results; made by frosthub keep init",
		Check: func(c *Config) (string, string) {
			if len(c.Idempotency.Handlers) == 0 {
				return "says nothing alone", "also \"keep handler\""
			}
			return "", ""
		},
		Args: []Argument{{Name: "path", Kind: "an absolute path on a disk of this machine", Set: func(c *Config, v string) error {
			if !filepath.IsAbs(v) {
				return errors.New("no absolute path")
			}
			c.Idempotency.Dir = filepath.Clean(v)
			return nil
		}}},
	},
	{
		Name: "keep handler", Repeatable: true, Requires: "keep dir", Help: "this handler's reqs must not run twice, and what tells them apart",
		Check: func(c *Config) (string, string) {
			for name, parts := range c.Idempotency.Handlers {
				if what, instead := c.lacks(name, parts); what != "" {
					return what, instead
				}
			}
			return "", ""
		},
		Args: named(func(c *Config) *map[string][]backend.KeyPart { return &c.Idempotency.Handlers }),
	},
	{
		Name: "keep key-field", Requires: "keep handler", Help: "the header that names what must not run twice",
		Args: []Argument{{Name: "header", Kind: "the name of a header, as X-Claim", Set: func(c *Config, v string) error {
			c.Idempotency.KeyField = v
			return headerName(v)
		}}},
	},
	{
		Name: "keep made-field", Requires: "keep handler", Help: "the header with the time at which a req was first made, in Unix milliseconds",
		Args: []Argument{{Name: "header", Kind: "the name of a header, as X-First-Made", Set: func(c *Config, v string) error {
			c.Idempotency.CreatedField = v
			return headerName(v)
		}}},
	},
	{
		Name: "keep entries", Requires: "keep dir", Help: "keys kept with their results at most",
		Args: []Argument{{Name: "number", Kind: fmt.Sprintf("a number from 16 to %d", entriesTop), Set: func(c *Config, v string) (err error) {
			c.Idempotency.Store.MaxEntries, err = whole(v, 16, entriesTop)
			return err
		}}},
	},
	{
		Name: "keep bytes", Requires: "keep dir", Help: "bytes of all results kept at most",
		Args: []Argument{{Name: "number", Kind: fmt.Sprintf("a number from 1024 to %d", bytesTop), Set: func(c *Config, v string) (err error) {
			c.Idempotency.Store.MaxBytes, err = whole(v, 1024, bytesTop)
			return err
		}}},
	},
	{
		Name: "keep result", Requires: "keep dir", Help: "bytes of one result at most; longer ones are not kept",
		Args: []Argument{{Name: "number", Kind: "a number from 16 to 16777216", Set: func(c *Config, v string) (err error) {
			c.Idempotency.Store.MaxResultBytes, err = whole(v, 16, 16<<20)
			return err
		}}},
	},
	{
		Name: "keep lifetime", Requires: "keep dir", Help: "how long a result is kept", Check: func(c *Config) (string, string) {
			if h := c.Idempotency.Store.RetryHorizon; h > 0 && h < c.Idempotency.Store.ResultTTL {
				return "is past the horizon", "a span not over that of \"keep horizon\""
			}
			return "", ""
		},
		Args: []Argument{{Name: "span", Kind: "a span from 1s to 720h", Set: func(c *Config, v string) (err error) {
			c.Idempotency.Store.ResultTTL, err = span(v, time.Second, 720*time.Hour)
			return err
		}}},
	},
	{
		Name: "keep horizon", Requires: "keep dir", Help: "how long after a req was first made it may still be repeated",
		Args: []Argument{{Name: "span", Kind: "a span from 1s to 8760h", Set: func(c *Config, v string) (err error) {
			c.Idempotency.Store.RetryHorizon, err = span(v, time.Second, 8760*time.Hour)
			return err
		}}},
	},
	{
		Name: "keep gather", Requires: "keep dir", Help: "least time from one commit to the next, so that the disk confirms more at once",
		Args: []Argument{{Name: "span", Kind: "a span from 1us to 100ms", Set: func(c *Config, v string) (err error) {
			c.Idempotency.CommitInterval, err = span(v, time.Microsecond, 100*time.Millisecond)
			return err
		}}},
	},
	{
		Name: "cluster name", Requires: "keep dir", Help: "guarded reqs are held by groups of boxes of this cluster, and taken over from lost ones",
		Check: func(c *Config) (string, string) {
			if c.Cluster.Listen == "" || len(c.Cluster.Members) < 3 {
				return "says nothing alone", "also \"cluster listen\", and \"cluster member\" three times at least"
			}
			return "", ""
		},
		Args: []Argument{{Name: "name", Kind: "a name, the same for all boxes", Set: func(c *Config, v string) error {
			c.Cluster.Name = v
			return shortName(v)
		}}},
	},
	{
		Name: "cluster listen", Requires: "cluster name", Help: "where the other boxes of the cluster connect",
		Args: []Argument{{Name: "address", Kind: "an address and a port, as 127.0.0.1:9700", Set: func(c *Config, v string) error {
			c.Cluster.Listen = v
			return listens(v, "no address", func(net.IP) bool { return true })
		}}},
	},
	{
		Name: "cluster member", Repeatable: true, Requires: "cluster name", Help: "a box of the cluster, this one too; the same lines for all boxes",
		Args: memberArgs(presentMembers), Options: memberOptions(presentMembers),
	},
	{
		Name: "cluster former", Repeatable: true, Requires: "cluster name", Help: "a box of the list before, while the members change: that list whole, as it was",
		Args: memberArgs(formerMembers), Options: append(memberOptions(formerMembers), goneOption),
	},
	{
		Name: "cluster promise", Requires: "cluster name", Help: "whether what a lost box held goes on although nobody asks for it again",
		Args: []Argument{{Name: "word", Kind: "yes or no", Set: func(c *Config, v string) error {
			if v != "yes" && v != "no" {
				return errors.New("neither yes nor no")
			}
			c.Cluster.ResumeUnclaimed = v == "yes"
			return nil
		}}},
	},
	{
		Name: "cluster wait", Requires: "cluster name", Help: "after a start, for all that may know more than its disk, then for most of them",
		Args: []Argument{
			{Name: "span", Kind: "a span from 1ms to 1h", Set: func(c *Config, v string) (err error) {
				c.Cluster.MajorityAfter, err = span(v, time.Millisecond, time.Hour)
				return err
			}},
			{Name: "word", Word: "alone"},
			{Name: "span", Kind: "a span, not under the first", Set: func(c *Config, v string) (err error) {
				c.Cluster.DegradeAfter, err = span(v, c.Cluster.MajorityAfter, time.Hour)
				return err
			}},
		},
	},
	{
		Name: "cluster replay", Repeatable: true, Requires: "cluster name", Help: "this handler's reqs may run again, and are taken over too; what tells them apart",
		Check: func(c *Config) (string, string) {
			for name, parts := range c.Cluster.ReplayableHandlers {
				if c.Idempotency.Handlers[name] != nil {
					return name + " is guarded by \"keep handler\"", "one of the two"
				}
				if what, instead := c.lacks(name, parts); what != "" {
					return what, instead
				}
			}
			return "", ""
		},
		Args: named(func(c *Config) *map[string][]backend.KeyPart { return &c.Cluster.ReplayableHandlers }),
	},
	{
		Name: "figures file", Help: "record the figures there, so that they outlive the process",
		Args: []Argument{{Name: "path", Kind: "an absolute path on a disk of this machine", Set: func(c *Config, v string) error {
			if !filepath.IsAbs(v) {
				return errors.New("no absolute path")
			}
			c.Accounting.File = filepath.Clean(v)
			return nil
		}}},
	},
	{
		Name: "figures trail", Requires: "figures file", Help: "how many of the last changes the file holds one by one",
		Args: []Argument{{
			Name: "number", Kind: fmt.Sprintf("a number from %d to 1048576, a power of two", statsfile.MinEntries),
			Set: func(c *Config, v string) error {
				n, err := whole(v, statsfile.MinEntries, 1<<20)
				if err == nil && n&(n-1) != 0 {
					err = errors.New("no power of two")
				}
				c.Accounting.Entries = n
				return err
			},
		}},
	},
	{
		Name: "figures periods", Help: "keep the figures of so many past periods as well",
		Args: []Argument{
			{Name: "number", Kind: fmt.Sprintf("a number from 1 to %d", periodsTop), Set: func(c *Config, v string) (err error) {
				c.Accounting.MaxPeriods, err = whole(v, 1, periodsTop)
				return err
			}},
			{Name: "word", Word: "every"},
			{Name: "span", Kind: "a span from 1s to 1h, as 1m", Set: func(c *Config, v string) error {
				var err error
				c.Accounting.PeriodLength, err = span(v, time.Second, time.Hour)
				return err
			}},
		},
	},
	{
		Name: "figures customers", Help: "tell so many customers apart, all others are one",
		Args: []Argument{{Name: "number", Kind: fmt.Sprintf("a number from 1 to %d", customers), Set: func(c *Config, v string) (err error) {
			c.Accounting.MaxCustomers, err = whole(v, 1, customers)
			return err
		}}},
	},
	{
		Name: "figures customer-field", Requires: "figures customers", Help: "the header that names the customer, instead of the edge node",
		Args: []Argument{{Name: "header", Kind: "the name of a header, as X-Customer", Set: func(c *Config, v string) error {
			c.Accounting.CustomerField = v
			return headerName(v)
		}}},
	},
}

// lacks tells what a key's parts need that is not there.
func (c *Config) lacks(name string, parts []backend.KeyPart) (what, instead string) {
	if slices.Contains(parts, backend.KeyPartField) && c.Idempotency.KeyField == "" {
		return name + " by field: no field is named", "also \"keep key-field\""
	}
	if slices.Contains(parts, backend.KeyPartCustomer) && c.Accounting.CustomerField == "" {
		return name + " by customer: only edge nodes are told apart", "also \"figures customer-field\""
	}
	return "", ""
}

// named are the arguments of a directive that names a handler and what its keys are made of.
func named(of func(*Config) *map[string][]backend.KeyPart) []Argument {
	return []Argument{
		{Name: "name", Kind: "a handler's name", Set: func(c *Config, v string) error {
			all := of(c)
			if _, again := (*all)[v]; again {
				return errors.New("it is there already")
			}
			if *all == nil {
				*all = map[string][]backend.KeyPart{}
			}
			(*all)[v] = nil // its parts follow
			return nil
		}},
		{Name: "word", Word: "by"},
		{Name: "parts", Kind: "id, customer, field or body, joined by +, as customer+body", Set: func(c *Config, v string) error {
			all := *of(c)
			name := ""
			for other, parts := range all {
				if parts == nil {
					name = other
				}
			}
			for word := range strings.SplitSeq(v, "+") {
				part := map[string]backend.KeyPart{
					"id": backend.KeyPartID, "customer": backend.KeyPartCustomer, "field": backend.KeyPartField,
					"body": backend.KeyPartBody,
				}[word]
				if part == 0 || slices.Contains(all[name], part) {
					return errors.New("not understood")
				}
				all[name] = append(all[name], part)
			}
			return nil
		}},
	}
}

var header = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]*$`)

// Lists of members that directives fill.
func presentMembers(c *Config) *[]backend.ClusterMember { return &c.Cluster.Members }
func formerMembers(c *Config) *[]backend.ClusterMember  { return &c.Cluster.Previous }

// memberArgs are the arguments of a directive that names a box.
func memberArgs(of func(*Config) *[]backend.ClusterMember) []Argument {
	return []Argument{
		{Name: "name", Kind: "a box's name, as in its platform's configuration", Set: func(c *Config, v string) error {
			list := of(c)
			for _, m := range *list {
				if m.Name == v {
					return errors.New("it is there already")
				}
			}
			*list = append(*list, backend.ClusterMember{Member: failover.Member{Name: v}})
			return shortName(v)
		}},
		{Name: "address", Kind: "an address and a port, as 127.0.0.1:9700", Set: func(c *Config, v string) error {
			last(of(c)).Address = v
			return withPort(v)
		}},
	}
}

// memberOptions are the options of one.
func memberOptions(of func(*Config) *[]backend.ClusterMember) []Argument {
	return []Argument{
		{Name: "zone", Kind: "the name of a zone", Set: func(c *Config, v string) error {
			last(of(c)).Zone = v
			return shortName(v)
		}},
		{Name: "weight", Kind: "a number from 1 to 1000", Set: func(c *Config, v string) error {
			n, err := whole(v, 1, 1000)
			last(of(c)).Weight = float64(n)
			return err
		}},
		{Name: "processor", Kind: "an address and a port, as 127.0.0.1:6100", Set: func(c *Config, v string) error {
			last(of(c)).Processor = v
			return withPort(v)
		}},
	}
}

// goneOption is one of the list before.
var goneOption = Argument{Name: "gone", Kind: "yes, where it never comes back", Set: func(c *Config, v string) error {
	if v != "yes" {
		return errors.New("not yes")
	}
	last(&c.Cluster.Previous).Removed = true
	return nil
}}

func last[T any](list *[]T) *T { return &(*list)[len(*list)-1] }

func withPort(v string) error {
	if _, _, err := net.SplitHostPort(v); err != nil {
		return errors.New("no address with a port")
	}
	return nil
}

func shortName(v string) error {
	if v == "" || len(v) > headerMost {
		return errors.New("no name")
	}
	return nil
}

func headerName(v string) error {
	if len(v) > headerMost || !header.MatchString(v) {
		return errors.New("no name of a header")
	}
	return nil
}

func whole(v string, least, most int) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, errors.New("no whole number")
	}
	if n < least || n > most {
		return 0, errors.New("out of its range")
	}
	return n, nil
}

func span(v string, least, most time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, errors.New("no span")
	}
	if d < least || d > most {
		return 0, errors.New("out of its range")
	}
	return d, nil
}

func percent(v string) (float64, error) {
	number, ok := strings.CutSuffix(v, "%")
	if !ok {
		return 0, errors.New("no share in percent")
	}
	n, err := whole(number, 1, 100)
	return float64(n) / 100, err
}

// secret reads one from the first line of a file.
func secret(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	if line = strings.TrimRight(line, "\r"); line == "" || len(line) > secretMost {
		return "", errors.New("its first line is empty or too long")
	}
	return line, nil
}

// lastPeer is the one that options belong to.
func (c *Config) lastPeer() *loadbalance.Peer {
	return &c.AJPUpstream.Balancer.Peers[len(c.AJPUpstream.Balancer.Peers)-1]
}

func loopback(c *Config, v string) error {
	c.Admin = v
	return listens(v, "no loopback address", net.IP.IsLoopback)
}

// listens checks an address that is listened on.
func listens(v, otherwise string, good func(net.IP) bool) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return errors.New("no address with a port")
	}
	if ip := net.ParseIP(host); ip == nil || !good(ip) {
		return errors.New(otherwise)
	}
	if _, err := whole(port, 0, 65535); err != nil {
		return fmt.Errorf("its port is %w", err)
	}
	return nil
}
