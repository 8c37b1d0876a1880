package unwrapper

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrSyntax marks errors about a text that cannot be split.
var ErrSyntax = errors.New("unwrapper: malformed JSON")

// Fields returns the texts of an object's members by name. Of members with the same
// name, the last one counts. The error is ErrSyntax.
func Fields(object []byte) (map[string][]byte, error) {
	fields := make(map[string][]byte)
	err := split(object, '{', '}', func(member []byte) error {
		end := stringEnd(member)
		if end < 0 {
			return errors.Mark(errors.Newf("no name in %.20q", member), ErrSyntax)
		}
		var name string
		if err := json.Unmarshal(member[:end], &name); err != nil {
			return errors.Mark(err, ErrSyntax)
		}
		rest := bytes.TrimLeft(member[end:], blanks)
		if len(rest) == 0 || rest[0] != ':' {
			return errors.Mark(errors.Newf("no value for %.20q", name), ErrSyntax)
		}
		fields[name] = bytes.Trim(rest[1:], blanks)
		return nil
	})
	return fields, err
}

// Elements returns the texts of an array's elements. null is an empty array. The error
// is ErrSyntax.
func Elements(array []byte) ([][]byte, error) {
	if string(bytes.Trim(array, blanks)) == "null" {
		return nil, nil
	}
	var elements [][]byte
	err := split(array, '[', ']', func(member []byte) error {
		elements = append(elements, member)
		return nil
	})
	return elements, err
}

const blanks = " \t\r\n"

// split calls yield with each member between the brackets, without blanks around it.
func split(text []byte, open, shut byte, yield func(member []byte) error) error {
	text = bytes.Trim(text, blanks)
	if len(text) < 2 || text[0] != open || text[len(text)-1] != shut {
		return errors.Mark(errors.Newf("%.20q does not begin with %q and end with %q", text, open, shut), ErrSyntax)
	}
	inside := bytes.Trim(text[1:len(text)-1], blanks)
	if len(inside) == 0 {
		return nil
	}
	depth, begin := 0, 0
	for i := 0; i < len(inside); i++ {
		switch inside[i] {
		case '"':
			length := stringEnd(inside[i:])
			if length < 0 {
				return errors.Mark(errors.New("a string without end"), ErrSyntax)
			}
			i += length - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return errors.Mark(errors.New("a bracket that was not opened"), ErrSyntax)
			}
		case ',':
			if depth > 0 {
				continue
			}
			if err := yield(bytes.Trim(inside[begin:i], blanks)); err != nil {
				return err
			}
			begin = i + 1
		}
	}
	if depth > 0 {
		return errors.Mark(errors.New("a bracket that is not closed"), ErrSyntax)
	}
	return yield(bytes.Trim(inside[begin:], blanks))
}

// stringEnd returns the length of the string literal that the text begins with, or -1.
func stringEnd(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return -1
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}
