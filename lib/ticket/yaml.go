package ticket

import (
	"encoding/json"
	"regexp"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// yamlToJSON converts one YAML document to JSON. Every token keeps its line number, so that later errors name the
// right line. Only the unambiguous part of YAML is supported: the YAML library's own decoder reads 010 as 8 and 1.5
// as 1, even in names.
func yamlToJSON(data []byte) (out []byte, err error) {
	// The YAML library panics on some malformed input; the fuzz corpus has examples.
	defer func() {
		if p := recover(); p != nil {
			err = invalid("the YAML cannot be read (%v); correct it, or write the ticket in JSON", p)
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if line, problem := checkYAMLShape(tokens); problem != "" {
		return nil, invalid("line %d: %s; see the ticket format", line, problem)
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, invalid("%s; correct the YAML", yaml.FormatError(err, false, false))
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) != 1 {
		return nil, invalid("the file has %d documents; write exactly one ticket into it", len(bodies))
	}
	w := jsonWriter{line: 1}
	if err := w.writeNode(bodies[0]); err != nil {
		return nil, err
	}
	return w.out, nil
}

// jsonWriter writes JSON. Before each token it writes newlines until it reaches the line of that token in the YAML.
type jsonWriter struct {
	out  []byte
	line int // current line of out, from 1
}

// writeText writes s, which is JSON already, on the line of n.
func (w *jsonWriter) writeText(n ast.Node, s string) {
	for ; w.line < lineOf(n); w.line++ {
		w.out = append(w.out, '\n')
	}
	w.out = append(w.out, s...)
}

// writeString writes s as a JSON string on the line of n.
func (w *jsonWriter) writeString(n ast.Node, s string) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	w.writeText(n, string(text))
	return nil
}

// lineOf returns the line of n in the YAML, or zero if it is unknown.
func lineOf(n ast.Node) int {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

var plainInteger = regexp.MustCompile(`^(0|-?[1-9][0-9]*)$`)

func (w *jsonWriter) writeNode(n ast.Node) error {
	switch n := n.(type) {
	case *ast.MappingNode:
		return w.writeMapping(n, n.Values)
	case *ast.MappingValueNode:
		return w.writeMapping(n.Key, []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		return w.writeSequence(n)
	case *ast.StringNode:
		return w.writeString(n, n.Value)
	case *ast.LiteralNode:
		return w.writeString(n, n.Value.Value)
	case *ast.BoolNode:
		w.writeText(n, strconv.FormatBool(n.Value))
		return nil
	case *ast.IntegerNode:
		text := n.GetToken().Value
		if !plainInteger.MatchString(text) {
			return invalid("line %d: %s is not a plain decimal number; write it without leading zeros, signs and underscores, or quote it if it is a name",
				lineOf(n), text)
		}
		w.writeText(n, text)
		return nil
	case *ast.FloatNode:
		return invalid("line %d: %s is not a whole number; write a whole number, or quote it if it is a name", lineOf(n), n.GetToken().Value)
	case *ast.NullNode:
		return invalid("line %d: empty value; remove the field or give it a value", lineOf(n))
	}
	return invalid("line %d: %s is not supported; write plain mappings, lists and values", lineOf(n), n.Type())
}

func (w *jsonWriter) writeMapping(at ast.Node, values []*ast.MappingValueNode) error {
	w.writeText(at, "{")
	for i, v := range values {
		if i > 0 {
			w.out = append(w.out, ',')
		}
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			return invalid("line %d: key %s is not supported; use the field names of the ticket format", lineOf(v.Key), v.Key)
		}
		if err := w.writeString(key, key.Value); err != nil {
			return err
		}
		w.out = append(w.out, ':')
		if err := w.writeNode(v.Value); err != nil {
			return err
		}
	}
	w.out = append(w.out, '}')
	return nil
}

func (w *jsonWriter) writeSequence(n *ast.SequenceNode) error {
	w.writeText(n, "[")
	for i, v := range n.Values {
		if i > 0 {
			w.out = append(w.out, ',')
		}
		if err := w.writeNode(v); err != nil {
			return err
		}
	}
	w.out = append(w.out, ']')
	return nil
}
