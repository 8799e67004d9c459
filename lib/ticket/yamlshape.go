package ticket

import "github.com/goccy/go-yaml/token"

const (
	// maxDepth is above the depth of any ticket; it bounds the recursion on hostile input.
	maxDepth = 8
	// maxFields is above the number of fields of any mapping in a ticket.
	maxFields = 32
)

// checkYAMLShape bounds depth and mappings before the YAML library parses the tokens, because it takes
// quadratic time in both: 6.6 s for 100 KB of "- - - ", 4 s for a mapping with 40,000 fields. It returns the
// line of the first problem. Blocks can nest only by indentation, which the size of the input bounds, or by
// several dashes on a line.
func checkYAMLShape(tokens token.Tokens) (int, string) {
	s := yamlShape{block: map[int]int{}}
	for _, t := range tokens {
		if problem := s.add(t); problem != "" {
			return t.Position.Line, problem
		}
	}
	return 0, ""
}

type yamlShape struct {
	line   int
	dashes int         // on this line
	flow   []int       // fields of the open flow mappings and sequences
	block  map[int]int // fields of the open block mappings by column
}

func (s *yamlShape) add(t *token.Token) string {
	if t.Position.Line != s.line {
		s.line, s.dashes = t.Position.Line, 0
	}
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		s.flow = append(s.flow, 0)
	case token.MappingEndType, token.SequenceEndType:
		s.flow = s.flow[:max(len(s.flow)-1, 0)]
	case token.MappingKeyType:
		return "keys with a question mark are not supported"
	case token.SequenceEntryType:
		s.dashes++
		s.closeBlocks(t.Position.Column)
	case token.MappingValueType:
		if s.field(t) > maxFields {
			return "a mapping has too many fields"
		}
	}
	if len(s.flow) > maxDepth || s.dashes > maxDepth {
		return "nested too deeply"
	}
	return ""
}

// field counts a field and returns the number of fields of its mapping.
func (s *yamlShape) field(colon *token.Token) int {
	if n := len(s.flow); n > 0 {
		s.flow[n-1]++
		return s.flow[n-1]
	}
	column := colon.Position.Column
	if colon.Prev != nil && colon.Prev.Position.Line == colon.Position.Line {
		column = colon.Prev.Position.Column
	}
	s.closeBlocks(column)
	s.block[column]++
	return s.block[column]
}

// closeBlocks forgets the block mappings right of a column.
func (s *yamlShape) closeBlocks(column int) {
	for c := range s.block {
		if c > column {
			delete(s.block, c)
		}
	}
}
