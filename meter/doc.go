// Package meter holds the metrics of one instance: a counter for each refusal
// and retry reason, and the figures that operators watch.
package meter
