// Package completer keeps an HTTP response that was not finished from looking
// complete. The server of net/http ends the response of every handler that
// returns normally in the regular way, also if the handler has written nothing or
// a part.
package completer
