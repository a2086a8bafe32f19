// Package schema checks JSON documents and words what is wrong with them for
// the person who wrote them.
//
// Each problem names the path of the field, the value found there and what
// would be right. All problems of a document are reported at once.
//
// # Usage
//
//	var doc = schema.MustCompile("settings", text)
//	if problems := doc.Check(data); len(problems) > 0 {
//		fmt.Println(problems[0]) // /limits/slots: 0: minimum: got 0, want 1
//	}
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Path is the JSON pointer of the field; "/" is the whole document.
	Path string `json:"path"`
	// Value is the JSON text found there, shortened.
	Value string `json:"value"`
	// Want says what would be right.
	Want string `json:"want"`
}

// String implements fmt.Stringer.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Value, p.Want)
}

// Error is a document's list of problems as an error; it is never empty.
type Error []Problem

// Error implements error.
func (e Error) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Schema is a compiled JSON schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles the JSON schema in text. It panics if text is not one,
// since schemas are part of the program.
func MustCompile(name, text string) *Schema {
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("schema %q is not JSON: %v", name, err))
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	if err := compiler.AddResource(name, doc); err != nil {
		panic(fmt.Sprintf("schema %q: %v", name, err))
	}
	compiled, err := compiler.Compile(name)
	if err != nil {
		panic(fmt.Sprintf("schema %q: %v", name, err))
	}
	return &Schema{compiled: compiled}
}

// Check returns what is wrong with the JSON document data, ordered by path.
func (s *Schema) Check(data []byte) []Problem {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Problem{{Path: "/", Value: excerpt(data), Want: fmt.Sprintf("want a JSON document: %v", err)}}
	}
	err = s.compiled.Validate(doc)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return []Problem{{Path: "/", Value: excerpt(data), Want: err.Error()}}
	}
	problems := leaves(invalid, doc, nil)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

// leaves appends the innermost causes of err to problems.
func leaves(err *jsonschema.ValidationError, doc any, problems []Problem) []Problem {
	if len(err.Causes) > 0 {
		for _, cause := range err.Causes {
			problems = leaves(cause, doc, problems)
		}
		return problems
	}
	printer := message.NewPrinter(language.English)
	value, _ := json.Marshal(at(doc, err.InstanceLocation))
	return append(problems, Problem{
		Path:  "/" + strings.Join(err.InstanceLocation, "/"),
		Value: excerpt(value),
		Want:  err.ErrorKind.LocalizedString(printer),
	})
}

// at returns the part of doc at path, or nil.
func at(doc any, path []string) any {
	for _, name := range path {
		switch node := doc.(type) {
		case map[string]any:
			doc = node[name]
		case []any:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i < 0 || i >= len(node) {
				return nil
			}
			doc = node[i]
		default:
			return nil
		}
	}
	return doc
}

// excerpt shortens data for a message.
func excerpt(data []byte) string {
	const limit = 80
	if len(data) > limit {
		return string(data[:limit]) + "..."
	}
	return string(data)
}
