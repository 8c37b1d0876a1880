// Package listclient is the client of the platform's list of instances and
// endpoints. The list lags, so it is a seed and never proof that a member lives.
package listclient
