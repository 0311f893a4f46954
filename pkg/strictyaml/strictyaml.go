// Package strictyaml reads YAML files in which every unknown field is an
// error, and reports all errors of a file at once with their lines.
package strictyaml

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"go.yaml.in/yaml/v4"
)

// Problem is one thing wrong with a file.
type Problem struct {
	// Line is counted from 1; 0 means that the whole file is meant.
	Line int
	// Field is the path of the field, such as accounts[2].weight.
	Field string
	// Reason says what is wrong and what to write instead.
	Reason string
}

// Problems is every problem of one file. It is an error when not empty.
type Problems struct {
	// File is the name under which the file is known to the operator.
	File string
	// List is in order of lines.
	List []Problem
}

// Error implements error with one line for each problem.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, x := range p.List {
		lines = append(lines, p.line(x))
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) line(x Problem) string {
	if x.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, x.Line, x.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, x.Line, x.Field, x.Reason)
}

// Doc is a decoded file that still knows its lines.
type Doc struct {
	root     *yaml.Node
	problems Problems
}

// Decode reads data into out. Syntax errors and unknown fields become
// problems of the Doc; the caller adds its own with Add and ends with Err.
func Decode(file string, data []byte, out any) *Doc {
	d := &Doc{root: &yaml.Node{}, problems: Problems{File: file}}
	if err := yaml.Unmarshal(data, d.root); err != nil {
		d.addDecode(err)
		return d
	}
	if err := yaml.Load(data, out, yaml.WithKnownFields()); err != nil {
		d.addDecode(err)
	}
	return d
}

func (d *Doc) addDecode(err error) {
	var several *yaml.LoadErrors
	if errors.As(err, &several) {
		for _, e := range several.Errors {
			d.problems.List = append(d.problems.List, Problem{Line: e.Mark.Line, Reason: e.Message})
		}
		return
	}
	var one *yaml.LoadError
	if errors.As(err, &one) {
		d.problems.List = append(d.problems.List, Problem{Line: one.Mark.Line, Reason: one.Message})
		return
	}
	d.problems.List = append(d.problems.List, Problem{Reason: err.Error()})
}

// Add records a problem at the path, whose elements are map keys (string) and
// list indexes (int).
func (d *Doc) Add(reason string, path ...any) {
	d.problems.List = append(d.problems.List, Problem{
		Line:   d.line(path),
		Field:  joinPath(path),
		Reason: reason,
	})
}

// Err returns all problems as a *Problems, or nil if there are none.
func (d *Doc) Err() error {
	if len(d.problems.List) == 0 {
		return nil
	}
	sort.SliceStable(d.problems.List, func(i, j int) bool {
		return d.problems.List[i].Line < d.problems.List[j].Line
	})
	p := d.problems
	return &p
}

// line returns the line of the deepest node on the path that exists.
func (d *Doc) line(path []any) int {
	n := d.root
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	for _, step := range path {
		next := child(n, step)
		if next == nil {
			break
		}
		n = next
	}
	return n.Line
}

func child(n *yaml.Node, step any) *yaml.Node {
	switch s := step.(type) {
	case int:
		if n.Kind == yaml.SequenceNode && s < len(n.Content) {
			return n.Content[s]
		}
	case string:
		if n.Kind != yaml.MappingNode {
			return nil
		}
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == s {
				return n.Content[i+1]
			}
		}
	}
	return nil
}

func joinPath(path []any) string {
	var b strings.Builder
	for _, step := range path {
		switch s := step.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", s)
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(s)
		}
	}
	return b.String()
}
