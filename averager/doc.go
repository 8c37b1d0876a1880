// Package averager holds exponentially weighted average rates of work, in ms of
// endpoint time per ms.
package averager
