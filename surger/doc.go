// Package surger finds workspaces that ask for far more than usual, so that
// their excess waits behind the requests of others while there is not enough for
// all. It does not hold back large workspaces that are as large as ever, or a
// burst of all workspaces together.
package surger
