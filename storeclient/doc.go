// Package storeclient is the client of the platform's object API: versioned
// objects, conditional updates and watches.
package storeclient
