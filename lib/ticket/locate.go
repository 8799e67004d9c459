package ticket

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"cuminhook.org/cuminhook/lib/refusal"
)

// fieldError is a refusal of one field of an object, or of a whole object.
type fieldError struct {
	refusal *refusal.Error
	ref     Ref
	field   string // empty: the whole object
}

// fieldErrorf returns a ticket_invalid refusal of a field of the object ref. For format and args see invalid.
func fieldErrorf(ref Ref, field, format string, args ...any) error {
	return &fieldError{invalid(format, args...), ref, field}
}

// Error implements error.
func (f *fieldError) Error() string { return f.refusal.Error() }

// Unwrap lets refusal.As find the refusal.
func (f *fieldError) Unwrap() error { return f.refusal }

// withLine adds to the message of a fieldError the line of the field in data, if it can be found. Other errors are
// returned unchanged.
func withLine(data []byte, err error) error {
	var f *fieldError
	if !errors.As(err, &f) {
		return err
	}
	line := findLine(data, f.ref, f.field)
	if line == 0 {
		return f.refusal
	}
	r := *f.refusal
	r.Message = fmt.Sprintf("line %d: %s", line, r.Message)
	return &r
}

// findLine returns the line of a field of the object ref in data, or of the object itself if field is empty or
// missing. If ref occurs more than once, the last one counts. The result is zero if the object isn't found. The
// caller must have decoded data before, which bounds its depth and the size of its mappings.
func findLine(data []byte, ref Ref, field string) (line int) {
	// The YAML library panics on some input; without a line the error is still complete.
	defer func() {
		if recover() != nil {
			line = 0
		}
	}()
	// The YAML library refuses tabs, which JSON allows as white space.
	file, err := parser.ParseBytes([]byte(strings.ReplaceAll(string(data), "\t", " ")), 0)
	if err != nil {
		return 0
	}
	f := locator{ref: ref, field: field}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			ast.Walk(&f, doc.Body)
		}
	}
	return f.line
}

// locator is an ast.Visitor that searches for the line of a field of the object ref.
type locator struct {
	ref     Ref
	field   string
	listKey string // field name of the list whose items are being visited
	line    int    // line found; zero: none so far
}

// Visit implements ast.Visitor.
func (f *locator) Visit(n ast.Node) ast.Visitor {
	switch n := n.(type) {
	case *ast.MappingValueNode:
		if seq, ok := n.Value.(*ast.SequenceNode); ok {
			f.listKey = keyText(n)
			for _, item := range seq.Values {
				f.visitItem(item)
			}
			return nil
		}
	}
	return f
}

// visitItem records the line if item is the object that is searched for.
func (f *locator) visitItem(item ast.Node) {
	var fields []*ast.MappingValueNode
	switch m := item.(type) {
	case *ast.MappingNode:
		fields = m.Values
	case *ast.MappingValueNode:
		fields = []*ast.MappingValueNode{m}
	}
	text, lines := map[string]string{}, map[string]int{}
	for _, v := range fields {
		if v.Value != nil && v.Value.GetToken() != nil {
			text[keyText(v)] = v.Value.GetToken().Value
		}
		lines[keyText(v)] = v.Key.GetToken().Position.Line
	}
	if text["name"] != f.ref.Name || f.listKey != string(f.ref.Kind)+"s" && text["kind"] != string(f.ref.Kind) {
		return
	}
	if line, ok := lines[f.field]; ok {
		f.line = line
	} else if len(fields) > 0 {
		f.line = fields[0].Key.GetToken().Position.Line
	}
}

// keyText returns the key of a mapping entry without JSON's quotes.
func keyText(v *ast.MappingValueNode) string { return strings.Trim(v.Key.GetToken().Value, `"`) }
