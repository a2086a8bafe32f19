// Package schema validates JSON documents against JSON schemas and describes each
// violation for the author of the document.
//
// A violation is reported as a Problem, which contains the path of the field, the
// value found there and what the schema requires instead. All problems of a document
// are reported together.
//
// # Usage
//
//	var settingsSchema = sync.OnceValue(func() *schema.Schema { return schema.MustCompile("settings", text) })
//	if problems := settingsSchema().Check(data); len(problems) > 0 {
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

// Problem is a violation of a schema by a document.
type Problem struct {
	// Path is the JSON pointer of the field, except that names in it are not
	// escaped and that "/" is the whole document.
	Path string `json:"path"`
	// Value is the JSON text at Path. A text longer than 80 bytes is cut off there
	// and ends in "...".
	Value string `json:"value"`
	// Want says in English what the schema requires at Path.
	Want string `json:"want"`
}

// String implements fmt.Stringer. It returns "Path: Value: Want".
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Value, p.Want)
}

// Error is the non-empty list of the problems of a document, as an error.
type Error []Problem

// Error implements error. It returns one line for each problem.
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

// MustCompile compiles the JSON schema in text. name identifies the schema in
// messages. MustCompile panics if text is not a valid JSON schema, because schemas
// are part of the program.
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

// Check returns the problems of the JSON document data, ordered by path, or nil if
// it has none. If data is not JSON, the result is a single problem with the path
// "/".
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
	problems := appendProblems(invalid, doc, nil)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

// appendProblems appends a problem for each innermost cause of err to problems.
func appendProblems(err *jsonschema.ValidationError, doc any, problems []Problem) []Problem {
	if len(err.Causes) > 0 {
		for _, cause := range err.Causes {
			problems = appendProblems(cause, doc, problems)
		}
		return problems
	}
	printer := message.NewPrinter(language.English)
	value, _ := json.Marshal(valueAt(doc, err.InstanceLocation))
	return append(problems, Problem{
		Path:  "/" + strings.Join(err.InstanceLocation, "/"),
		Value: excerpt(value),
		Want:  err.ErrorKind.LocalizedString(printer),
	})
}

// valueAt returns the part of doc at path, or nil if there is none.
func valueAt(doc any, path []string) any {
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

// excerpt returns data for use in a message. Data longer than 80 bytes is cut off
// there and ends in "...".
func excerpt(data []byte) string {
	const limit = 80
	if len(data) > limit {
		return string(data[:limit]) + "..."
	}
	return string(data)
}
