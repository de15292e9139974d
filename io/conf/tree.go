package conf

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// parseTree parses a YAML or JSON document into a syntax tree; the error is of type Faults.
func parseTree(data []byte) (ast.Node, error) {
	tokens := lexer.Tokenize(string(data))
	if line := findTooDeepLine(tokens); line > 0 {
		return nil, Faults{{Line: line, What: fmt.Sprintf("is nested more than %d deep", maxNesting)}}
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, Faults{syntaxFault(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, Faults{{Line: 1, What: "must hold one document, neither none nor several"}}
	}
	return file.Docs[0].Body, nil
}

// maxNesting is the deepest nesting that is parsed; valid documents nest less. The limit is there
// because the parser's time grows with the square of the depth.
const maxNesting = 16

// findTooDeepLine returns the first line at which more than maxNesting brackets are open or which has
// more than maxNesting list markers ("-") and key markers ("?"), or zero if there is none. It needs only
// the tokens, so that a deeply nested document is rejected before it is parsed.
func findTooDeepLine(tokens token.Tokens) int {
	brackets, marks, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, marks = t.Position.Line, 0
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			brackets++
		case token.MappingEndType, token.SequenceEndType:
			brackets--
		case token.SequenceEntryType, token.MappingKeyType:
			marks++
		}
		if brackets > maxNesting || marks > maxNesting {
			return line
		}
	}
	return 0
}

func syntaxFault(err error) Fault {
	var syntaxError yaml.Error
	if errors.As(err, &syntaxError) && syntaxError.GetToken() != nil {
		return Fault{Line: syntaxError.GetToken().Position.Line, What: syntaxError.GetMessage()}
	}
	return Fault{Line: 1, What: err.Error()}
}

// lineOf returns the line at which a node begins, or zero if it is unknown.
func lineOf(n ast.Node) int {
	switch n := n.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 && !n.IsFlowStyle {
			return n.Values[0].Key.GetToken().Position.Line
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken().Position.Line
	}
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// pairsOf returns the fields of a mapping; the parser gives a mapping of one field a type of its
// own.
func pairsOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func textOf(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func numberOf(n ast.Node) (float64, bool) {
	switch n := n.(type) {
	case *ast.FloatNode:
		return n.Value, true
	case *ast.IntegerNode:
		return integerOf(n)
	}
	return 0, false
}

func integerOf(n *ast.IntegerNode) (float64, bool) {
	switch v := n.Value.(type) {
	case int64:
		return float64(v), true
	case uint64:
		return float64(v), true
	}
	return 0, false
}

// describeNode describes a node for the text of a fault. Anchors, aliases and tags are rejected
// everywhere, because their value is not visible where they are used.
func describeNode(n ast.Node) string {
	switch n.(type) {
	case nil, *ast.NullNode:
		return "nothing"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a group of fields"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		return "an anchor, alias or tag"
	}
	return fmt.Sprintf("%v", n.Type())
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// parentPath returns the path of the enclosing value.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
