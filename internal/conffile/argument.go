package conffile

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
)

// Limits of values, in bytes.
const (
	maxNameLength   = 64 // of the names of nodes, zones, headers and workers
	maxSecretLength = 256
)

// The constructors below return an argument that stores its value in a field. The
// field is given as a function because the configuration is allocated only when a
// file is read.

// keyword returns an argument that must be the given word. It stores nothing.
func keyword(word string) argument { return argument{name: "word", keyword: word} }

// named returns a copy of the argument with another name.
func (a argument) named(name string) argument {
	a.name = name
	return a
}

// withExample returns a copy of the argument whose error messages show an example.
func (a argument) withExample(example string) argument {
	a.kind += ", such as " + example
	return a
}

// integer returns an argument for a whole number from minimum to maximum.
func integer(field func(*Config) *int, minimum, maximum int) argument {
	return argument{
		name: "number",
		kind: fmt.Sprintf("a number from %d to %d", minimum, maximum),
		set: func(c *Config, value string) error {
			n, err := parseInteger(value, minimum, maximum)
			*field(c) = n
			return err
		},
	}
}

// weight returns an argument for a relative weight.
func weight(field func(*Config) *float64) argument {
	const minimum, maximum = 1, 1000
	return argument{
		name: "weight",
		kind: fmt.Sprintf("a number from %d to %d", minimum, maximum),
		set: func(c *Config, value string) error {
			n, err := parseInteger(value, minimum, maximum)
			*field(c) = float64(n)
			return err
		},
	}
}

// duration returns an argument for a duration from minimum to maximum.
func duration(field func(*Config) *time.Duration, minimum, maximum time.Duration) argument {
	return argument{
		name: "span",
		kind: fmt.Sprintf("a duration from %s to %s", formatDuration(minimum), formatDuration(maximum)),
		set: func(c *Config, value string) error {
			d, err := parseDuration(value, minimum, maximum)
			*field(c) = d
			return err
		},
	}
}

// durationFrom returns an argument for a duration that is not shorter than the one
// in the field minimum, which an earlier argument of the same line has set.
func durationFrom(minimum, field func(*Config) *time.Duration, maximum time.Duration) argument {
	return argument{
		name: "span",
		kind: "a duration, not less than the first",
		set: func(c *Config, value string) error {
			d, err := parseDuration(value, *minimum(c), maximum)
			*field(c) = d
			return err
		},
	}
}

// percentage returns an argument for a percentage, stored as a fraction of 1.
func percentage(field func(*Config) *float64) argument {
	return argument{
		name: "share",
		kind: "a percentage from 1% to 100%",
		set: func(c *Config, value string) error {
			share, err := parsePercentage(value)
			*field(c) = share
			return err
		},
	}
}

// listenAddress returns an argument for an IP address and port to listen on.
func listenAddress(field func(*Config) *string, example string) argument {
	return argument{
		name: "address",
		kind: "an address and a port, such as " + example,
		set: func(c *Config, value string) error {
			*field(c) = value
			anyIP := func(net.IP) bool { return true }
			return checkListenAddress(value, "not an IP address", anyIP)
		},
	}
}

// peerAddress returns an argument for the address and port of another server.
func peerAddress(name string, field func(*Config) *string, example string) argument {
	return argument{
		name: name,
		kind: "an address and a port, such as " + example,
		set: func(c *Config, value string) error {
			*field(c) = value
			return checkPeerAddress(value)
		},
	}
}

// shortName returns an argument for a name. kind describes the name in messages.
func shortName(name, kind string, field func(*Config) *string) argument {
	return argument{
		name: name,
		kind: kind,
		set: func(c *Config, value string) error {
			*field(c) = value
			return checkName(value)
		},
	}
}

// headerName returns an argument for the name of a header.
func headerName(field func(*Config) *string, example string) argument {
	return argument{
		name: "header",
		kind: "the name of a header, such as " + example,
		set: func(c *Config, value string) error {
			*field(c) = value
			return checkHeaderName(value)
		},
	}
}

// absolutePath returns an argument for the absolute path of a file or directory.
func absolutePath(field func(*Config) *string) argument {
	return argument{
		name: "path",
		kind: "an absolute path on a local disk",
		set: func(c *Config, value string) error {
			if !filepath.IsAbs(value) {
				return errors.New("not an absolute path")
			}
			*field(c) = filepath.Clean(value)
			return nil
		},
	}
}

// secretFile returns an argument for the path of a file. The argument stores the
// first line of the file, not the path.
func secretFile(field func(*Config) *string) argument {
	return argument{
		name: "path",
		kind: "a readable file with one line",
		set: func(c *Config, value string) error {
			secret, err := readSecret(value)
			*field(c) = secret
			return err
		},
	}
}

// last returns the last element of a list. The first argument of a line has appended
// it, and the rest of the line sets its fields.
func last[T any](list []T) *T { return &list[len(list)-1] }

func parseInteger(text string, minimum, maximum int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, errors.New("not a whole number")
	}
	if n < minimum || n > maximum {
		return 0, errOutOfRange
	}
	return n, nil
}

func parseDuration(text string, minimum, maximum time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.New("not a duration")
	}
	if d < minimum || d > maximum {
		return 0, errOutOfRange
	}
	return d, nil
}

var errOutOfRange = errors.New("out of range")

// formatDuration formats a whole number of a unit in the notation of the operator's
// file.
func formatDuration(d time.Duration) string {
	text := strings.TrimSuffix(d.String(), "0m0s") // String ends whole hours like this
	return strings.Replace(text, "µs", "us", 1)
}

func parsePercentage(text string) (float64, error) {
	number, ok := strings.CutSuffix(text, "%")
	if !ok {
		return 0, errors.New("not a percentage")
	}
	n, err := parseInteger(number, 1, 100)
	return float64(n) / 100, err
}

// checkListenAddress checks an IP address and port. problem is the text of the error for
// a host that is not an IP address or is not allowed.
func checkListenAddress(address, problem string, allowed func(net.IP) bool) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errNoPort
	}
	if ip := net.ParseIP(host); ip == nil || !allowed(ip) {
		return errors.New(problem)
	}
	if _, err := parseInteger(port, 0, 65535); err != nil {
		return fmt.Errorf("the port is %w", err)
	}
	return nil
}

func checkPeerAddress(address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return errNoPort
	}
	return nil
}

var errNoPort = errors.New("not an address with a port")

func checkName(name string) error {
	if name == "" || len(name) > maxNameLength {
		return errors.New("empty or too long")
	}
	return nil
}

var headerPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]*$`)

func checkHeaderName(name string) error {
	if len(name) > maxNameLength || !headerPattern.MatchString(name) {
		return errors.New("not a header name")
	}
	return nil
}

// readSecret returns the first line of a file.
func readSecret(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	first, _, _ := strings.Cut(string(text), "\n")
	secret := strings.TrimRight(first, "\r")
	if secret == "" || len(secret) > maxSecretLength {
		return "", errors.New("the first line is empty or too long")
	}
	return secret, nil
}
