package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// explainDuration says where the value stands that err calls an invalid duration, or returns an empty string for other
// errors. The decoder reports these alone without their place.
func explainDuration(data []byte, err error) string {
	if !strings.HasPrefix(err.Error(), "time: ") {
		return ""
	}
	file, parseErr := parser.ParseBytes(data, 0)
	if parseErr != nil {
		return "" // the decoder has read the same text; its own error stands
	}
	f := finder{message: err.Error()}
	for _, doc := range file.Docs {
		ast.Walk(&f, doc)
	}
	return f.found
}

// finder looks for the string that a message quotes.
type finder struct{ message, found string }

// Visit implements ast.Visitor.
func (f *finder) Visit(n ast.Node) ast.Visitor {
	s, ok := n.(*ast.StringNode)
	if ok && f.found == "" && strings.HasSuffix(f.message, strconv.Quote(s.Value)) {
		at := s.GetToken().Position
		f.found = fmt.Sprintf("[%d:%d] %s: %q is not a duration; write it like 3s or 250ms",
			at.Line, at.Column, strings.TrimPrefix(s.GetPath(), "$."), s.Value)
	}
	return f
}
