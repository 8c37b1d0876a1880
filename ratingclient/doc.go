// Package ratingclient is the client of the rating service, which scores an
// answer. Which answers are rated is the caller's choice.
package ratingclient
