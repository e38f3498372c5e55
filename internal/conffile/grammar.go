package conffile

import (
	"errors"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The types of the syntax tree. A file consists of lines, and a line of words.
type (
	file struct {
		Lines []*line `parser:"@@*"`
	}
	line struct {
		Words []*word `parser:"@@* EOL"`
	}
	word struct {
		Pos  lexer.Position
		Text string `parser:"@(Word | String)"`
	}
)

var grammar = participle.MustBuild[file](
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

// splitLines returns the words of each line of a file, without the lines that hold
// no word. name is the name of the file in errors.
func splitLines(name, text string) ([][]*word, error) {
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	tree, err := grammar.ParseString(name, text)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	var lines [][]*word
	for _, l := range tree.Lines {
		if len(l.Words) > 0 {
			lines = append(lines, l.Words)
		}
	}
	return lines, nil
}

func syntaxError(name string, err error) error {
	var at participle.Error
	if !errors.As(err, &at) {
		return err
	}
	return &Error{
		File:     name,
		Line:     at.Position().Line,
		Column:   at.Position().Column,
		Problem:  "syntax error: " + at.Message(),
		Expected: "words, or text in double quotes that ends on its line",
	}
}
