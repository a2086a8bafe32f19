package outcome

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReasonsAreComplete checks that Reasons returns each constant of type
// Reason that outcome.go declares, and no other value.
func TestReasonsAreComplete(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "outcome.go", nil, 0)
	require.NoError(t, err)
	var declared []Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Reason" {
			value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			declared = append(declared, Reason(value))
		}
		return true
	})
	require.NotEmpty(t, declared)
	require.ElementsMatch(t, declared, Reasons())
}

// TestReasonsAreDocumented checks that the section Reasons of the operations
// page has one table row for each reason, in the order of Reasons, and no other
// row.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	section := regexp.MustCompile(`(?s)\n## Reasons\n(.*?)\n## `).FindStringSubmatch(string(page))
	require.Len(t, section, 2, "the operations page has no section Reasons")
	var documented []Reason
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(section[1], -1) {
		documented = append(documented, Reason(row[1]))
	}
	require.Equal(t, Reasons(), documented)
}
