package ticket

import "github.com/goccy/go-yaml/token"

const (
	// maxNestingDepth is larger than the depth of any ticket. It bounds the recursion on hostile input.
	maxNestingDepth = 8
	// maxMappingFields is larger than the number of fields of any mapping in a ticket.
	maxMappingFields = 32
)

// checkYAMLShape limits the nesting depth and the number of fields of a mapping. It runs before the YAML library
// parses the tokens, because the library takes quadratic time in both: 6.6 s for 100 KB of "- - - ", 4 s for a mapping
// with 40,000 fields. It returns the line and the description of the first problem, or an empty description. Block
// nesting is limited only for several dashes on a line; nesting by indentation is bounded by the size of the input.
func checkYAMLShape(tokens token.Tokens) (int, string) {
	s := yamlShape{blockFields: map[int]int{}}
	for _, t := range tokens {
		if problem := s.addToken(t); problem != "" {
			return t.Position.Line, problem
		}
	}
	return 0, ""
}

// yamlShape tracks the nesting and the field counts of the tokens read so far.
type yamlShape struct {
	line        int
	lineDashes  int         // number of list dashes on the current line
	flowFields  []int       // number of fields of each open flow mapping or sequence, outermost first
	blockFields map[int]int // number of fields of each open block mapping, by its column
}

// addToken reads the next token and returns the description of a problem, or an empty string.
func (s *yamlShape) addToken(t *token.Token) string {
	if t.Position.Line != s.line {
		s.line, s.lineDashes = t.Position.Line, 0
	}
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		s.flowFields = append(s.flowFields, 0)
	case token.MappingEndType, token.SequenceEndType:
		s.flowFields = s.flowFields[:max(len(s.flowFields)-1, 0)]
	case token.MappingKeyType:
		return "keys with a question mark are not supported"
	case token.SequenceEntryType:
		s.lineDashes++
		s.closeBlocks(t.Position.Column)
	case token.MappingValueType:
		if s.countField(t) > maxMappingFields {
			return "a mapping has too many fields"
		}
	}
	if len(s.flowFields) > maxNestingDepth || s.lineDashes > maxNestingDepth {
		return "nested too deeply"
	}
	return ""
}

// countField counts the field whose colon is given and returns the number of fields of its mapping so far.
func (s *yamlShape) countField(colon *token.Token) int {
	if n := len(s.flowFields); n > 0 {
		s.flowFields[n-1]++
		return s.flowFields[n-1]
	}
	column := colon.Position.Column
	if colon.Prev != nil && colon.Prev.Position.Line == colon.Position.Line {
		column = colon.Prev.Position.Column
	}
	s.closeBlocks(column)
	s.blockFields[column]++
	return s.blockFields[column]
}

// closeBlocks removes the block mappings to the right of a column, which have ended.
func (s *yamlShape) closeBlocks(column int) {
	for c := range s.blockFields {
		if c > column {
			delete(s.blockFields, c)
		}
	}
}
