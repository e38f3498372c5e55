// Package conffile reads the operator's file: one directive a line, made of words,
// numbers, time spans and options, with comments after #.
//
// The directives that a file may hold are data: tables by group, from which all
// checks and messages come. The names of directives are fixed, as operators' files
// hold them.
package conffile

import (
	"errors"
	"fmt"
	"io"
	"os"

	"frosthub/backend"
)

// maxFileSize is the size of a file in bytes: far more than a person writes.
const maxFileSize = 1 << 20

// Config is what the operator's file says.
type Config struct {
	// Admin is the address of the admin server, empty for none.
	Admin       string
	Accounting  backend.AccountingConfig
	AJP         backend.AJPConfig
	AJPUpstream backend.AJPUpstreamConfig
	Idempotency backend.IdempotencyConfig
	Cluster     backend.ClusterConfig
}

// Error is what is wrong at one place of a file.
type Error struct {
	File     string
	Line     int // from 1
	Column   int // from 1
	Problem  string
	Expected string // what should stand there; may be empty
}

func (e *Error) Error() string {
	out := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Problem)
	if e.Expected != "" {
		out += ", expected " + e.Expected
	}
	return out
}

// Load reads a file. What is wrong with its content is an *Error.
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
		return Config{}, fmt.Errorf("%s: over %d bytes, that is no configuration", path, maxFileSize)
	}
	return Parse(path, string(text))
}

// Parse reads the text of a file, whose name is for messages. Its errors are of
// type *Error.
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
	if err := p.checkTogether(); err != nil {
		return Config{}, err
	}
	return p.config, nil
}

// parser applies directives to a configuration.
type parser struct {
	file   string
	config Config
	seen   map[string]*word // the first word of the last line of each directive, by its name
}

func (p *parser) errorAt(w *word, problem, expected string) error {
	return &Error{p.file, w.Pos.Line, w.Pos.Column, problem, expected}
}

// apply follows one line, of at least one word.
func (p *parser) apply(words []*word) error {
	d, rest := findDirective(words)
	if d == nil {
		return p.errorAt(words[0], fmt.Sprintf("unknown directive %q", directiveText(words)), alternatives(words))
	}
	if first := p.seen[d.name]; first != nil && !d.repeatable {
		expected := fmt.Sprintf("it once: it stands on line %d", first.Pos.Line)
		return p.errorAt(words[0], fmt.Sprintf("%q again", d.name), expected)
	}
	p.seen[d.name] = words[0]
	for _, arg := range d.args {
		if len(rest) == 0 {
			return p.missing(d, arg, words[len(words)-1])
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
		return p.errorAt(rest[0], fmt.Sprintf("%q is too much for %q", rest[0].Text, d.name), "the end of the line")
	}
	return nil
}

// missing is the error of a line that ends before an argument.
func (p *parser) missing(d *directive, arg argument, last *word) error {
	return &Error{
		File:     p.file,
		Line:     last.Pos.Line,
		Column:   last.Pos.Column + len(last.Text),
		Problem:  fmt.Sprintf("%q lacks its %s", d.name, arg.name),
		Expected: arg.expected(),
	}
}

func (p *parser) applyArgument(arg argument, w *word) error {
	if arg.keyword == "" {
		return p.set(arg, w, w.Text)
	}
	if w.Text != arg.keyword {
		return p.errorAt(w, fmt.Sprintf("%q where %q belongs", w.Text, arg.keyword), arg.expected())
	}
	return nil
}

// applyOptions takes options off the front of the words, and returns the rest.
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

// set takes the value of an argument or option, which stands in a word.
func (p *parser) set(arg argument, w *word, value string) error {
	if err := arg.set(&p.config, value); err != nil {
		return p.errorAt(w, fmt.Sprintf("%s %q: %v", arg.name, value, err), arg.expected())
	}
	return nil
}

// checkTogether checks the directives of the file against each other.
func (p *parser) checkTogether() error {
	for _, d := range directives {
		at := p.seen[d.name]
		if at == nil {
			continue
		}
		if d.requires != "" && p.seen[d.requires] == nil {
			return p.errorAt(at, fmt.Sprintf("%q says nothing alone", d.name), fmt.Sprintf("also %q", d.requires))
		}
		if d.check == nil {
			continue
		}
		if c := d.check(&p.config); c != nil {
			return p.errorAt(at, fmt.Sprintf("%q %s", d.name, c.problem), c.expected)
		}
	}
	return nil
}

// errDuplicate is the error of a value that may stand in a file once.
var errDuplicate = errors.New("it is there already")
