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

// yamlToJSON converts one YAML document to JSON in which every token has the line that it has in the YAML, so
// that later errors name the right line. Only the part of YAML that means the same to every reader is
// supported: the library's own decoder reads 010 as 8 and 1.5 as 1, also in names.
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
	if err := w.node(bodies[0]); err != nil {
		return nil, err
	}
	return w.out, nil
}

// jsonWriter writes JSON and fills up with line ends to reach the lines of the YAML.
type jsonWriter struct {
	out  []byte
	line int
}

func (w *jsonWriter) text(n ast.Node, s string) {
	for ; w.line < lineOf(n); w.line++ {
		w.out = append(w.out, '\n')
	}
	w.out = append(w.out, s...)
}

func (w *jsonWriter) quoted(n ast.Node, s string) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	w.text(n, string(text))
	return nil
}

func lineOf(n ast.Node) int {
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

var plainInteger = regexp.MustCompile(`^(0|-?[1-9][0-9]*)$`)

func (w *jsonWriter) node(n ast.Node) error {
	switch n := n.(type) {
	case *ast.MappingNode:
		return w.mapping(n, n.Values)
	case *ast.MappingValueNode:
		return w.mapping(n.Key, []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		return w.sequence(n)
	case *ast.StringNode:
		return w.quoted(n, n.Value)
	case *ast.LiteralNode:
		return w.quoted(n, n.Value.Value)
	case *ast.BoolNode:
		w.text(n, strconv.FormatBool(n.Value))
		return nil
	case *ast.IntegerNode:
		text := n.GetToken().Value
		if !plainInteger.MatchString(text) {
			return invalid("line %d: %s is not a plain decimal number; write it without leading zeros, signs and underscores, or quote it if it is a name",
				lineOf(n), text)
		}
		w.text(n, text)
		return nil
	case *ast.FloatNode:
		return invalid("line %d: %s is not a whole number; write a whole number, or quote it if it is a name", lineOf(n), n.GetToken().Value)
	case *ast.NullNode:
		return invalid("line %d: empty value; remove the field or give it a value", lineOf(n))
	}
	return invalid("line %d: %s is not supported; write plain mappings, lists and values", lineOf(n), n.Type())
}

func (w *jsonWriter) mapping(at ast.Node, values []*ast.MappingValueNode) error {
	w.text(at, "{")
	for i, v := range values {
		if i > 0 {
			w.out = append(w.out, ',')
		}
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			return invalid("line %d: key %s is not supported; use the field names of the ticket format", lineOf(v.Key), v.Key)
		}
		if err := w.quoted(key, key.Value); err != nil {
			return err
		}
		w.out = append(w.out, ':')
		if err := w.node(v.Value); err != nil {
			return err
		}
	}
	w.out = append(w.out, '}')
	return nil
}

func (w *jsonWriter) sequence(n *ast.SequenceNode) error {
	w.text(n, "[")
	for i, v := range n.Values {
		if i > 0 {
			w.out = append(w.out, ',')
		}
		if err := w.node(v); err != nil {
			return err
		}
	}
	w.out = append(w.out, ']')
	return nil
}
