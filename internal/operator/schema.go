package operator

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"frosthub/internal/figures"
)

// Directive is one that may stand in the file, once.
type Directive struct {
	Name  string
	Args  []Arg
	Needs string // another directive without which it says nothing
	Help  string
}

// Arg is a value of a directive, or a fixed word between values.
type Arg struct {
	Name string
	Word string // fixed
	Kind string // what a value is, for messages
	Set  func(c *Config, v string) error
}

// Expected tells what must stand there.
func (a Arg) Expected() string {
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
)

// Directives are all that there are.
var Directives = []Directive{
	{Name: "admin listen", Help: "serve /metrics and /figures to programs on this machine",
		Args: []Arg{{Name: "address", Kind: "a loopback address and a port, as 127.0.0.1:9180", Set: loopback}}},
	{Name: "ajp listen", Help: "serve front ends that speak AJP/1.3 there",
		Args: []Arg{{Name: "address", Kind: "an address and a port, as 127.0.0.1:8009", Set: func(c *Config, v string) error {
			host, port, err := net.SplitHostPort(v)
			if err != nil {
				return errors.New("no address with a port")
			}
			if net.ParseIP(host) == nil {
				return errors.New("no address")
			}
			if _, err := whole(port, 0, 65535); err != nil {
				return fmt.Errorf("its port is %w", err)
			}
			c.AJP.Listen = v
			return nil
		}}}},
	{Name: "ajp secret file", Needs: "ajp listen", Help: "what each req over AJP must bring; the file's first line",
		Args: []Arg{{Name: "path", Kind: "a file that can be read, with one line", Set: func(c *Config, v string) error {
			text, err := os.ReadFile(v)
			if err != nil {
				return err
			}
			secret, _, _ := strings.Cut(string(text), "\n")
			if c.AJP.Secret = strings.TrimRight(secret, "\r"); c.AJP.Secret == "" || len(c.AJP.Secret) > secretMost {
				return errors.New("its first line is empty or too long")
			}
			return nil
		}}}},
	{Name: "ajp packet", Needs: "ajp listen", Help: "bytes of a packet of AJP at most, as the front ends have it",
		Args: []Arg{{Name: "number", Kind: "a number from 8192 to 65535", Set: func(c *Config, v string) (err error) {
			c.AJP.Packet, err = whole(v, 8192, 65535)
			return err
		}}}},
	{Name: "figures file", Help: "record the figures there, so that they outlive the process",
		Args: []Arg{{Name: "path", Kind: "an absolute path on a disk of this machine", Set: func(c *Config, v string) error {
			if !filepath.IsAbs(v) {
				return errors.New("no absolute path")
			}
			c.Figures.File = filepath.Clean(v)
			return nil
		}}}},
	{Name: "figures trail", Needs: "figures file", Help: "how many of the last changes the file holds one by one",
		Args: []Arg{{Name: "number", Kind: fmt.Sprintf("a number from %d to 1048576, a power of two", figures.OpsLeast),
			Set: func(c *Config, v string) error {
				n, err := whole(v, figures.OpsLeast, 1<<20)
				if err == nil && n&(n-1) != 0 {
					err = errors.New("no power of two")
				}
				c.Figures.Trail = n
				return err
			}}}},
	{Name: "figures periods", Help: "keep the figures of so many past periods as well",
		Args: []Arg{
			{Name: "number", Kind: fmt.Sprintf("a number from 1 to %d", periodsTop), Set: func(c *Config, v string) (err error) {
				c.Figures.Periods, err = whole(v, 1, periodsTop)
				return err
			}},
			{Name: "word", Word: "every"},
			{Name: "span", Kind: "a span from 1s to 1h, as 1m", Set: func(c *Config, v string) error {
				d, err := time.ParseDuration(v)
				if err != nil {
					return errors.New("no span")
				}
				if d < time.Second || d > time.Hour {
					return errors.New("out of its range")
				}
				c.Figures.Every = d
				return nil
			}}}},
	{Name: "figures customers", Help: "tell so many customers apart, all others are one",
		Args: []Arg{{Name: "number", Kind: fmt.Sprintf("a number from 1 to %d", customers), Set: func(c *Config, v string) (err error) {
			c.Figures.Customers, err = whole(v, 1, customers)
			return err
		}}}},
	{Name: "figures customer-field", Needs: "figures customers", Help: "the header that names the customer, instead of the edge node",
		Args: []Arg{{Name: "header", Kind: "the name of a header, as X-Customer", Set: func(c *Config, v string) error {
			if len(v) > headerMost || !header.MatchString(v) {
				return errors.New("no name of a header")
			}
			c.Figures.CustomerField = v
			return nil
		}}}},
}

var header = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]*$`)

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

func loopback(c *Config, v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return errors.New("no address with a port")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.New("no loopback address")
	}
	if _, err := whole(port, 0, 65535); err != nil {
		return fmt.Errorf("its port is %w", err)
	}
	c.Admin = v
	return nil
}
