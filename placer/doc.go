// Package placer computes which model versions the endpoints of one data centre
// are to hold, and the load and unload commands that bring the endpoints to this
// placement. It depends on the versions that were last read back from each
// endpoint, on the traffic share of each version and on the number of versions
// that fit at an endpoint.
//
// The desired placement is stored in one record per data centre. The record has a
// fencing number that only increases. The instance that sends the commands, the
// holder, acts under a lease, which Lease keeps in the record by conditional updates.
// All code except Lease is free of I/O and takes the time as an argument.
//
// # Two holders
//
// A lease is valid on its holder's monotonic clock from before the write that
// renewed it. Another instance takes the lease only after it has seen the record
// unchanged for the lifetime and a margin, so the former lease has then expired.
// Every command carries the record's number, and a takeover increases it, so an
// engine that rejects old numbers never executes a command of a former holder.
//
// Some engines ignore the number, and some endpoints do not check who sends a
// command. For these, a new holder waits until commands that were sent under
// the former lease must have arrived (Options.CommandTimeout) and reads the
// endpoint's state back before its first command. It continues to read the state:
// a holder that was paused between the check of its lease and the send can
// still reach such an endpoint once, and the deviation is corrected at the next
// tick.
//
// # Weight store
//
// Loads are limited by a token bucket with the semantics of
// golang.org/x/time/rate. A new holder starts with an empty bucket, since the
// former one may just have used up a full one. The weight store's rate is divided
// between the data centres by the settings, because the holders of two data
// centres share no state.
package placer
