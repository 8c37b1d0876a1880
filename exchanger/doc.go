// Package exchanger does one HTTP exchange and classifies its failure: nothing
// was sent, the outcome is unknown, or the other side refused without running
// the request. The clients of all outside systems share its sentinels.
package exchanger
