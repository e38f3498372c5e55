package conffile

import (
	"fmt"
	"slices"
	"strings"
)

// directives are all that a file may hold.
var directives = slices.Concat(
	adminDirectives,
	ajpDirectives,
	upstreamDirectives,
	idempotencyDirectives,
	clusterDirectives,
	accountingDirectives,
)

// directive is a line that may stand in a file: the words of its name, its
// arguments and then options.
type directive struct {
	name       string
	args       []argument
	options    []argument // that may follow as name=value, in any order
	repeatable bool       // it may stand on several lines
	requires   string     // another directive without which it is an error
	// check returns what is wrong with the directive beside the others, nil for
	// nothing. It is called once everything is read.
	check func(*Config) *conflict
}

// argument is a value of a directive, or a fixed word between values.
type argument struct {
	name    string
	keyword string // the fixed word
	kind    string // what the value is, for messages
	set     func(c *Config, value string) error
}

// conflict is what is wrong with a directive beside others.
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

// findOption returns the option that a word name=value sets, and the value.
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

// findDirective returns the directive of a line and the words after its name; nil
// if there is none.
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

// directiveText is what stands where the name of a directive should.
func directiveText(words []*word) string {
	const nameWords = 2 // of most directives
	var texts []string
	for _, w := range words[:min(nameWords, len(words))] {
		texts = append(texts, w.Text)
	}
	return strings.Join(texts, " ")
}

// alternatives lists the directives that begin with the same word, or all.
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
