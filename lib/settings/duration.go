package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// describeInvalidDuration returns the position and key of the value that err reports as an invalid duration, with a
// remedy. It returns an empty string for other errors, whose position the YAML decoder reports itself.
func describeInvalidDuration(data []byte, err error) string {
	if !strings.HasPrefix(err.Error(), "time: ") {
		return ""
	}
	file, parseErr := parser.ParseBytes(data, 0)
	if parseErr != nil {
		return "" // the caller reports err instead
	}
	f := durationFinder{message: err.Error()}
	for _, doc := range file.Docs {
		ast.Walk(&f, doc)
	}
	return f.found
}

// durationFinder is an ast.Visitor that searches for the first string that is quoted at the end of message, and
// describes it in found.
type durationFinder struct{ message, found string }

// Visit implements ast.Visitor.
func (f *durationFinder) Visit(n ast.Node) ast.Visitor {
	s, ok := n.(*ast.StringNode)
	if ok && f.found == "" && strings.HasSuffix(f.message, strconv.Quote(s.Value)) {
		at := s.GetToken().Position
		f.found = fmt.Sprintf("[%d:%d] %s: %q is not a duration; write it like 3s or 250ms",
			at.Line, at.Column, strings.TrimPrefix(s.GetPath(), "$."), s.Value)
	}
	return f
}
