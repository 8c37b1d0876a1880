// Package weightclient is the client of the rate-limited weight store.
package weightclient
