package quarantiner

import (
	"strconv"
	"strings"
)

// Request describes a request by what crashes endpoints if one of these does: all of
// it, or a part of its prompt.
type Request struct {
	Content uint64   // hash of what all repetitions of the request have in common
	Parts   []string // of its prompt that other requests may share, in order
}

// contentPrefix begins the names of whole requests. No part has such a name, since a
// colon ends the id of a part.
const contentPrefix = "request:"

// contentName returns the name under which evidence against a request as a whole is
// kept.
func contentName(content uint64) string { return contentPrefix + strconv.FormatUint(content, 16) }

func isContent(name string) bool { return strings.HasPrefix(name, contentPrefix) }

// each calls yield with the request as a whole and with its parts, until yield returns
// false. The position of the whole request is behind those of all parts.
func (r Request) each(yield func(position int, name string) bool) {
	if !yield(len(r.Parts), contentName(r.Content)) {
		return
	}
	for position, name := range r.Parts {
		if !yield(position, name) {
			return
		}
	}
}
