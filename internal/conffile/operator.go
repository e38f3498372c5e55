// Package conffile reads the operator's file: one directive a line, words, numbers, spans and options, comments after #.
// What may stand there is data (Directives); all messages and checks come from it.
package conffile

import (
	"errors"
	"fmt"
	"frosthub/backend"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Config is what the operator's file says.
type Config struct {
	Admin       string // where figures are served to the machine itself; empty: nowhere
	Accounting  backend.AccountingConfig
	AJP         backend.AJPConfig
	AJPUpstream backend.AJPUpstreamConfig
	Idempotency backend.IdempotencyConfig
	Cluster     backend.ClusterConfig
}

// Error is what is wrong at a place of a file.
type Error struct {
	File         string
	Line, Column int
	Problem      string
	Expected     string
}

func (e *Error) Error() string {
	out := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Problem)
	if e.Expected != "" {
		out += ", expected " + e.Expected
	}
	return out
}

// The grammar: lines of words.
type fileNode struct {
	Lines []*lineNode `parser:"@@*"`
}

type lineNode struct {
	Words []*wordNode `parser:"@@* EOL"`
}

type wordNode struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

var grammar = participle.MustBuild[fileNode](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "EOL", Pattern: `\r?\n`},
		{Name: "Space", Pattern: `[ \t]+`},
		{Name: "Word", Pattern: `[^\s#"]+`},
	})),
	participle.Elide("Comment", "Space"),
	participle.Unquote("String"),
)

const fileMost = 1 << 20 // bytes of a file: far beyond any that a person writes

// Load reads a file.
func Load(path string) (Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return Config{}, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, fileMost+1))
	if err != nil {
		return Config{}, err
	}
	if len(text) > fileMost {
		return Config{}, fmt.Errorf("%s: over %d bytes, that is no configuration", path, fileMost)
	}
	return Parse(path, string(text))
}

// Parse reads the text of a file; the name is for messages.
func Parse(name, text string) (Config, error) {
	var c Config
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	tree, err := grammar.ParseString(name, text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			p := at.Position()
			return c, &Error{name, p.Line, p.Column, "not understood: " + at.Message(), "words, or text in double quotes that ends on its line"}
		}
		return c, err
	}
	seen := map[string]*wordNode{}
	for _, line := range tree.Lines {
		if len(line.Words) == 0 {
			continue
		}
		if err := c.take(name, line.Words, seen); err != nil {
			return Config{}, err
		}
	}
	for _, d := range Directives {
		if at := seen[d.Name]; at != nil && d.Requires != "" && seen[d.Requires] == nil {
			return Config{}, &Error{name, at.Pos.Line, at.Pos.Column, "\"" + d.Name + "\" says nothing alone", "also \"" + d.Requires + "\""}
		}
		if at := seen[d.Name]; at != nil && d.Check != nil {
			if what, expected := d.Check(&c); what != "" {
				return Config{}, &Error{name, at.Pos.Line, at.Pos.Column, "\"" + d.Name + "\" " + what, expected}
			}
		}
	}
	return c, nil
}

// take follows one directive.
func (c *Config) take(file string, words []*wordNode, seen map[string]*wordNode) error {
	wrong := func(w *wordNode, what, expected string) error {
		return &Error{file, w.Pos.Line, w.Pos.Column, what, expected}
	}
	d, rest := find(words)
	if d == nil {
		return wrong(words[0], fmt.Sprintf("unknown directive %q", text(words)), nearest(words))
	}
	if at := seen[d.Name]; at != nil && !d.Repeatable {
		return wrong(words[0], fmt.Sprintf("%q again", d.Name), fmt.Sprintf("it once: it stands on line %d", at.Pos.Line))
	}
	seen[d.Name] = words[0]
	for _, a := range d.Args {
		if len(rest) == 0 {
			last := words[len(words)-1]
			return &Error{file, last.Pos.Line, last.Pos.Column + len(last.Text), fmt.Sprintf("%q lacks its %s", d.Name, a.Name), a.Expected()}
		}
		if a.Word != "" {
			if rest[0].Text != a.Word {
				return wrong(rest[0], fmt.Sprintf("%q where %q belongs", rest[0].Text, a.Word), fmt.Sprintf("%q", a.Word))
			}
		} else if err := a.Set(c, rest[0].Text); err != nil {
			return wrong(rest[0], fmt.Sprintf("%s %q: %v", a.Name, rest[0].Text, err), a.Expected())
		}
		rest = rest[1:]
	}
	for ; len(rest) > 0; rest = rest[1:] {
		name, value, ok := strings.Cut(rest[0].Text, "=")
		i := slices.IndexFunc(d.Options, func(a Argument) bool { return a.Name == name })
		if !ok || i < 0 {
			break
		}
		if err := d.Options[i].Set(c, value); err != nil {
			return wrong(rest[0], fmt.Sprintf("%s %q: %v", name, value, err), d.Options[i].Expected())
		}
	}
	if len(rest) > 0 {
		return wrong(rest[0], fmt.Sprintf("%q is too much for %q", rest[0].Text, d.Name), "the end of the line")
	}
	return nil
}

func find(words []*wordNode) (*Directive, []*wordNode) {
	for i := range Directives {
		d := &Directives[i]
		names := strings.Fields(d.Name)
		if len(words) < len(names) {
			continue
		}
		same := true
		for k, n := range names {
			same = same && words[k].Text == n
		}
		if same {
			return d, words[len(names):]
		}
	}
	return nil, nil
}

func text(words []*wordNode) string {
	var out []string
	for _, w := range words[:min(2, len(words))] {
		out = append(out, w.Text)
	}
	return strings.Join(out, " ")
}

// nearest names the directives that begin alike, or all.
func nearest(words []*wordNode) string {
	var alike, all []string
	for _, d := range Directives {
		all = append(all, d.Name)
		if strings.Fields(d.Name)[0] == words[0].Text {
			alike = append(alike, d.Name)
		}
	}
	if len(alike) == 0 {
		alike = all
	}
	return "one of: " + strings.Join(alike, ", ")
}
