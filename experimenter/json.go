package experimenter

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// WriteJSON writes the result to w as indented JSON.
func (r Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "experimenter: write JSON")
}
