// Package conffile parses the operator's file. Each line holds one directive, which
// consists of words, numbers, durations and options. # begins a comment.
//
// Tables define the directives, one table for each group. All checks and error
// messages derive from these tables. The names of directives are fixed because the
// files of operators contain them.
package conffile

import (
	"errors"
	"fmt"
	"io"
	"os"

	"frosthub/backend"
)

// maxFileSize is the largest size of a file in bytes, far above that of a file written
// by hand.
const maxFileSize = 1 << 20

// Config is the configuration in the operator's file.
type Config struct {
	// Admin is the address of the admin server, empty for none.
	Admin       string
	Accounting  backend.AccountingConfig
	AJP         backend.AJPConfig
	AJPUpstream backend.AJPUpstreamConfig
	Idempotency backend.IdempotencyConfig
	Cluster     backend.ClusterConfig
}

// Error describes a problem at one position of a file.
type Error struct {
	File     string
	Line     int // number of the line; the first is 1
	Column   int // position in the line; the first is 1
	Problem  string
	Expected string // the text that is valid at this position; may be empty
}

func (e *Error) Error() string {
	out := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Problem)
	if e.Expected != "" {
		out += ", expected " + e.Expected
	}
	return out
}

// Load reads and parses a file. It returns an *Error for content that is not valid,
// another error for a file that is too large or can't be read.
func Load(path string) (Config, error) {
	file, err := os.Open(path)
	if err != nil {
		return Config{}, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return Config{}, err
	}
	if len(text) > maxFileSize {
		return Config{}, fmt.Errorf("%s: too large for a configuration, more than %d bytes", path, maxFileSize)
	}
	return Parse(path, string(text))
}

// Parse parses the text of a file. The name of the file is used in messages only. All
// errors are of type *Error.
func Parse(name, text string) (Config, error) {
	lines, err := splitLines(name, text)
	if err != nil {
		return Config{}, err
	}
	p := parser{file: name, seen: map[string]*word{}}
	for _, words := range lines {
		if err := p.apply(words); err != nil {
			return Config{}, err
		}
	}
	if err := p.checkConflicts(); err != nil {
		return Config{}, err
	}
	return p.config, nil
}

// parser applies directives to a configuration.
type parser struct {
	file   string
	config Config
	seen   map[string]*word // first word of the last line of each directive, by the directive's name
}

func (p *parser) errorAt(w *word, problem, expected string) error {
	return &Error{p.file, w.Pos.Line, w.Pos.Column, problem, expected}
}

// apply applies one line, which has at least one word.
func (p *parser) apply(words []*word) error {
	d, rest := findDirective(words)
	if d == nil {
		return p.errorAt(words[0], fmt.Sprintf("unknown directive %q", directiveText(words)), alternatives(words))
	}
	if first := p.seen[d.name]; first != nil && !d.repeatable {
		expected := fmt.Sprintf("only the one on line %d", first.Pos.Line)
		return p.errorAt(words[0], fmt.Sprintf("duplicate directive %q", d.name), expected)
	}
	p.seen[d.name] = words[0]
	for _, arg := range d.args {
		if len(rest) == 0 {
			return p.missingArgument(d, arg, words[len(words)-1])
		}
		if err := p.applyArgument(arg, rest[0]); err != nil {
			return err
		}
		rest = rest[1:]
	}
	rest, err := p.applyOptions(d, rest)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return p.errorAt(rest[0], fmt.Sprintf("unexpected %q after the arguments of %q", rest[0].Text, d.name), "the end of the line")
	}
	return nil
}

// missingArgument returns the error for a line that ends before an argument.
func (p *parser) missingArgument(d *directive, arg argument, last *word) error {
	return &Error{
		File:     p.file,
		Line:     last.Pos.Line,
		Column:   last.Pos.Column + len(last.Text),
		Problem:  fmt.Sprintf("%q is missing its %s", d.name, arg.name),
		Expected: arg.expected(),
	}
}

func (p *parser) applyArgument(arg argument, w *word) error {
	if arg.keyword == "" {
		return p.set(arg, w, w.Text)
	}
	if w.Text != arg.keyword {
		return p.errorAt(w, fmt.Sprintf("unexpected %q instead of %q", w.Text, arg.keyword), arg.expected())
	}
	return nil
}

// applyOptions applies the options at the front of words and returns the rest.
func (p *parser) applyOptions(d *directive, words []*word) ([]*word, error) {
	for len(words) > 0 {
		option, value, ok := d.findOption(words[0].Text)
		if !ok {
			break
		}
		if err := p.set(option, words[0], value); err != nil {
			return nil, err
		}
		words = words[1:]
	}
	return words, nil
}

// set stores the value of an argument or option. w is the word that holds the value.
func (p *parser) set(arg argument, w *word, value string) error {
	if err := arg.set(&p.config, value); err != nil {
		return p.errorAt(w, fmt.Sprintf("%s %q: %v", arg.name, value, err), arg.expected())
	}
	return nil
}

// checkConflicts checks that the directives of the file are consistent with each
// other.
func (p *parser) checkConflicts() error {
	for _, d := range directives {
		firstWord := p.seen[d.name]
		if firstWord == nil {
			continue
		}
		if d.requires != "" && p.seen[d.requires] == nil {
			return p.errorAt(firstWord, fmt.Sprintf("%q has no effect alone", d.name), fmt.Sprintf("also %q", d.requires))
		}
		if d.check == nil {
			continue
		}
		if c := d.check(&p.config); c != nil {
			return p.errorAt(firstWord, fmt.Sprintf("%q %s", d.name, c.problem), c.expected)
		}
	}
	return nil
}

// errDuplicate is the error of a value that occurs again but must be unique in the
// file.
var errDuplicate = errors.New("already in the file")
