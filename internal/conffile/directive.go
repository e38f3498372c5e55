package conffile

import (
	"fmt"
	"slices"
	"strings"
)

// directives are all directives that a file may hold.
var directives = slices.Concat(
	adminDirectives,
	ajpDirectives,
	upstreamDirectives,
	idempotencyDirectives,
	clusterDirectives,
	accountingDirectives,
)

// directive defines a line of the file: the words of its name, then its arguments,
// then its options.
type directive struct {
	name       string
	args       []argument
	options    []argument // optional, written as name=value, in any order
	repeatable bool       // allowed on several lines
	requires   string     // name of a directive that the file must hold too, if any
	// check returns a conflict of the directive with others, or nil. It is called
	// after all lines have been applied. A nil check always passes.
	check func(*Config) *conflict
}

// argument is a value of a directive, or a fixed word between values.
type argument struct {
	name    string
	keyword string                              // the fixed word; empty for a value
	kind    string                              // description of valid values, for messages
	set     func(c *Config, value string) error // stores a value, and returns an error if it is not valid; nil for a fixed word
}

// conflict describes why a directive is not valid in combination with others.
type conflict struct {
	problem  string
	expected string
}

func (a argument) expected() string {
	if a.keyword != "" {
		return fmt.Sprintf("%q", a.keyword)
	}
	return a.kind
}

// findOption returns the option and the value of a word of the form name=value. ok is
// false for other words and unknown options.
func (d *directive) findOption(text string) (option argument, value string, ok bool) {
	name, value, ok := strings.Cut(text, "=")
	if !ok {
		return argument{}, "", false
	}
	i := slices.IndexFunc(d.options, func(a argument) bool { return a.name == name })
	if i < 0 {
		return argument{}, "", false
	}
	return d.options[i], value, true
}

// findDirective returns the directive of a line and the words after its name, or nil
// if no directive has that name.
func findDirective(words []*word) (*directive, []*word) {
	for i := range directives {
		d := &directives[i]
		name := strings.Fields(d.name)
		if startsWith(words, name) {
			return d, words[len(name):]
		}
	}
	return nil, nil
}

func startsWith(words []*word, prefix []string) bool {
	if len(words) < len(prefix) {
		return false
	}
	for i := range prefix {
		if words[i].Text != prefix[i] {
			return false
		}
	}
	return true
}

// directiveText returns the beginning of a line whose directive is unknown, for
// messages.
func directiveText(words []*word) string {
	const nameWords = 2 // length of most names of directives
	var texts []string
	for _, w := range words[:min(nameWords, len(words))] {
		texts = append(texts, w.Text)
	}
	return strings.Join(texts, " ")
}

// alternatives lists the directives that begin with the same word as a line, or all
// directives if there are none.
func alternatives(words []*word) string {
	var similar, all []string
	for _, d := range directives {
		all = append(all, d.name)
		if strings.Fields(d.name)[0] == words[0].Text {
			similar = append(similar, d.name)
		}
	}
	if len(similar) == 0 {
		similar = all
	}
	return "one of: " + strings.Join(similar, ", ")
}
