// Package ratingclient is an HTTP client of the rating service, which scores the
// quality of answers. The caller chooses which answers to rate.
package ratingclient
