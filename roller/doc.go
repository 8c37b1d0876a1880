// Package roller sets the share of new sessions that a new version gets and
// stops a bad version early. A sequential test over the fleet's ratings and
// errors may be looked at after every answer without more false stops.
package roller
