// Package biller commits one bill per request.
//
// Until it is committed, a bill is held in memory by the instance that served
// the request (the holder) and by a backup instance in another data centre. The
// holder commits its bills in batches and then tells the backup to release them.
// A backup commits the bills that were not released within a grace period, or at
// once if the holder is reported dead. Each of these steps may be repeated: the
// first bill committed for a request id is kept, in whichever segment of its
// shard it is. A bill is lost only if both instances die before a commit, if
// their memory is full, or if it cannot be committed before its maximum age; the
// last two cases are counted.
package biller
