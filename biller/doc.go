// Package biller commits one bill per request.
//
// A bill is held in the memory of the instance that served the request and of
// one backup in another data centre until it is committed. The holder commits
// in batches and then releases the backup; a backup commits what was not
// released within a grace period, or at once if the holder is reported dead.
// All of these repeat freely: the first bill committed for a request id stays,
// in whichever segment of its shard it is. A bill is lost only if both holders
// die before a commit, or, counted, if their memory is full.
package biller
