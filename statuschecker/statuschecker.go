package statuschecker

import "net/http"

// Class is what a status code makes of a response.
type Class int

const (
	// Undefined means that HTTP does not define the class of the code, or that the response
	// ends HTTP on its connection, which no request here asks for. It is no answer.
	Undefined Class = iota
	// Informational means that another response to the same request follows.
	Informational
	// Final means that the response is the answer.
	Final
)

// Classify returns the class of a status code.
func Classify(code int) Class {
	switch {
	case code < 100 || code >= 600 || code == http.StatusSwitchingProtocols:
		return Undefined
	case code < 200:
		return Informational
	}
	return Final
}
