package ticket

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"cuminhook.org/cuminhook/lib/refusal"
)

// fault is a refusal because of one field of an object.
type fault struct {
	refusal *refusal.Error
	ref     Ref
	field   string // empty: the whole object
}

func faultAt(ref Ref, field, format string, args ...any) error {
	return &fault{invalid(format, args...), ref, field}
}

// Error implements error.
func (f *fault) Error() string { return f.refusal.Error() }

// Unwrap lets refusal.As find the refusal.
func (f *fault) Unwrap() error { return f.refusal }

// withLine returns err with the line in data that it is about, if that can be found.
func withLine(data []byte, err error) error {
	var f *fault
	if !errors.As(err, &f) {
		return err
	}
	line := locate(data, f.ref, f.field)
	if line == 0 {
		return f.refusal
	}
	r := *f.refusal
	r.Message = fmt.Sprintf("line %d: %s", line, r.Message)
	return &r
}

// locate returns the line of the last object in data that ref names, or of a field of it; zero if it is not
// found. data was decoded before, so that its shape is known to be harmless.
func locate(data []byte, ref Ref, field string) (line int) {
	// The YAML library panics on some input; without a line the error is still complete.
	defer func() {
		if recover() != nil {
			line = 0
		}
	}()
	// The library refuses tabs, which JSON allows as white space.
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

type locator struct {
	ref   Ref
	field string
	list  string // key of the list that is being walked
	line  int
}

// Visit implements ast.Visitor.
func (f *locator) Visit(n ast.Node) ast.Visitor {
	switch n := n.(type) {
	case *ast.MappingValueNode:
		if seq, ok := n.Value.(*ast.SequenceNode); ok {
			f.list = keyText(n)
			for _, item := range seq.Values {
				f.visitItem(item)
			}
			return nil
		}
	}
	return f
}

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
	if text["name"] != f.ref.Name || f.list != string(f.ref.Kind)+"s" && text["kind"] != string(f.ref.Kind) {
		return
	}
	if line, ok := lines[f.field]; ok {
		f.line = line
	} else if len(fields) > 0 {
		f.line = fields[0].Key.GetToken().Position.Line
	}
}

func keyText(v *ast.MappingValueNode) string { return strings.Trim(v.Key.GetToken().Value, `"`) }
