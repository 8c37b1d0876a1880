// Package placer decides which versions the endpoints of one data centre hold,
// and the commands that lead there. The desired placement is one record per
// data centre whose number only increases. One commanding instance acts under a
// lease, which Lease keeps in the record by conditional updates; everything else
// is pure.
//
// # Two commanding instances
//
// A lease is valid on its holder's monotonic clock from before the write that
// renewed it. Another instance takes the lease only after it has seen the record
// unchanged for the lifetime and a margin, so the former lease has then expired.
// Every command carries the record's number, and a takeover raises it, so an
// engine that rejects old numbers never follows a former commander.
//
// Some engines ignore the number, and some endpoints do not check who sends a
// command. For these a new commander waits until commands that were sent under the
// former lease must have arrived (Options.CommandTimeout) and reads the endpoint's
// state back before its first command. It keeps reading back: a commander that was
// paused between the check of its lease and the send can still reach such an
// endpoint once, and the deviation is then corrected at the next tick.
//
// # Weight store
//
// Loads draw on a token bucket with the semantics of golang.org/x/time/rate. A new
// commander starts with an empty bucket, since the former one may just have spent a
// full one. The weight store's rate is divided between the data centres by the
// settings, because the commanders of two data centres share no state.
package placer
