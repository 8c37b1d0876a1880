// Package tracker keeps the table of endpoints of one instance: who serves what,
// which endpoints may take work, and how loaded they are. It gives out slots for
// single requests and takes them back with their outcome.
package tracker
