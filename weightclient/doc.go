// Package weightclient is an HTTP client of the weight store, which limits the rate
// of downloads of model weights.
package weightclient
