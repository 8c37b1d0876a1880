// Package responsescanner finds a second HTTP response in a body that only the end of its
// connection delimits. An endpoint that answers twice, or a late copy of an earlier response,
// leaves it there, where nothing else tells it from the body.
package responsescanner
