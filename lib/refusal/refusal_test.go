package refusal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Guards against a refusal reason that the table in docs/api.md doesn't explain.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	file, err := parser.ParseFile(token.NewFileSet(), "refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	reasons := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "Reason" {
			return true
		}
		for _, v := range spec.Values {
			reason, err := strconv.Unquote(v.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			reasons++
			if !strings.Contains(string(page), "\n| `"+reason+"` |") {
				t.Errorf("the table in docs/api.md lacks %s", reason)
			}
		}
		return true
	})
	if reasons == 0 {
		t.Fatal("found no constant of type Reason in refusal.go")
	}
}
