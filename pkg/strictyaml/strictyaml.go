// Package strictyaml decodes YAML files, rejects unknown fields, and reports all
// problems of a file at once, with line numbers.
package strictyaml

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"go.yaml.in/yaml/v4"
)

// Problem is an error in a file.
type Problem struct {
	// Line counts from 1; 0 means the file as a whole.
	Line int
	// Field is the path of the field, such as accounts[2].weight.
	Field string
	// Reason describes the problem and how to fix it.
	Reason string
}

// Problems holds all problems of a file. It implements error.
type Problems struct {
	// File is the file name to show to operators.
	File string
	// List is sorted by line.
	List []Problem
}

// Error returns one line for each problem.
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

// Doc is a decoded file with its line numbers.
type Doc struct {
	root     *yaml.Node
	problems Problems
}

// Decode decodes data into out. It records syntax errors and unknown fields in the
// Doc. The caller adds further problems with Add and then calls Err.
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
	var list *yaml.LoadErrors
	if errors.As(err, &list) {
		for _, e := range list.Errors {
			d.problems.List = append(d.problems.List, Problem{Line: e.Mark.Line, Reason: e.Message})
		}
		return
	}
	var single *yaml.LoadError
	if errors.As(err, &single) {
		d.problems.List = append(d.problems.List, Problem{Line: single.Mark.Line, Reason: single.Message})
		return
	}
	d.problems.List = append(d.problems.List, Problem{Reason: err.Error()})
}

// Add records a problem at a path of map keys (string) and
// list indexes (int).
func (d *Doc) Add(reason string, path ...any) {
	d.problems.List = append(d.problems.List, Problem{
		Line:   d.line(path),
		Field:  joinPath(path),
		Reason: reason,
	})
}

// Err returns a *Problems with all problems, or nil if there are none.
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

// line returns the line of the deepest existing node on the path.
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
