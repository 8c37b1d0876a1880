// Package launcher runs one process on the users' platform: it opens the
// addresses of the settings, follows the store, keeps the list of instances and
// serves callers and the directory until it is told to stop.
package launcher
