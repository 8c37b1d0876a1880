// Package meter collects the Prometheus metrics of one instance: refusals and
// retries by reason, requests, tokens, latencies, store calls, gauges and
// events.
package meter
