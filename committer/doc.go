// Package committer batches many concurrent changes of records into few
// conditional updates of objects in the object API.
//
// Records are stored in shards. A shard is a ring of segment objects
// "<shard>/<slot>", each below 512 KB. New records are added to the one open
// segment. A full segment is sealed: its records can still be updated, but no
// new ones are added, and the next slot is opened. A record is therefore absent
// from the shard if the final key sets of the sealed segments lack its key and a
// conditional update of the open segment succeeds. Slots are reused and never
// deleted, so that a delayed write can never create an object again.
//
// If the answer to a write with expected version v is lost, the outcome of the
// write is in doubt. It is resolved by a successful repetition of the same write
// or by a read of a version above v: versions only increase, so the first write
// can then no longer take effect, and the commit ids in the segment show whether
// it did. A read of version v does not resolve the outcome.
//
// A slot is reused when its segment is older than the retention, measured in
// shard time. Each commit advances shard time only by the interval, on the
// writer's monotonic clock, between the receipt of the version that it replaces
// and the write. These intervals never overlap, so shard time never runs faster
// than real time, even if the wall clocks of the instances are wrong.
package committer
