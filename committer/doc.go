// Package committer applies many concurrent changes of records to the object
// API with few conditional updates.
//
// Records live in shards. A shard is a ring of segment objects
// "<shard>/<slot>", each below 512 KB. New records go to the one open segment;
// a full segment is sealed, after which it takes updates of its records but no
// new ones, and the next slot is opened. A record is therefore absent from the
// shard if the final key sets of the sealed segments lack it and a conditional
// update of the open segment succeeds. Slots are reused and never deleted, so
// that a write which arrives late can never create an object anew.
//
// A write with expected version v whose answer is lost is in doubt. It is
// settled by a successful repetition of the same write, or by a read of a
// version above v: versions only increase, so the first write can then no
// longer take effect, and the commit ids in the segment tell whether it did. A
// read of version v settles nothing.
//
// A slot is reused when its segment is older than the retention, measured in
// shard time. Each commit adds to shard time only the span, on the writer's
// monotonic clock, between the receipt of the version that it replaces and the
// write. These spans never overlap, so shard time never runs faster than real
// time, whatever the instances think of the time of day.
package committer
