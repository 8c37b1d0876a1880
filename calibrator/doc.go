// Package calibrator learns how fast each endpoint is and how many requests it
// serves well at the same time, from the durations that this instance and its
// neighbours observe.
//
// Load addressed: endpoints of one service whose speeds differ by a factor of up
// to three. Some slow down long before their slots are full, and some turn slow
// for 0.6 s, for 10 s or for good. The design is in docs/design/endpoint-speeds.md.
//
// It takes effect where a service has at least three endpoints, two of which have
// samples. It never excludes an endpoint and never judges a version.
package calibrator
