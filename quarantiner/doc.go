// Package quarantiner finds the requests, and the parts of prompts, that crash
// endpoints, and tells which requests must not be sent because of that.
//
// An endpoint that ends while requests wait there for their first event is
// evidence against every part of their prompts that other requests share. The
// parts of all these requests but one are innocent, and a first event clears the
// parts of its request. A part is held back once several endpoints have ended
// under several different requests with it and no request with it has had a first
// event since. Of several such parts the most likely one is held; crashes under it
// then count against another part only beside further ones without it. From time
// to time one request with a held part is sent: a first event ends the hold.
//
// A request as a whole is a suspect like a part. It is known by its content, which
// all its repetitions have in common, and fewer crashes are enough to hold it.
//
// One instance sees only a few of the crashes. Instances exchange their
// observations, and those of first events of parts that others suspect.
//
// A Quarantiner does no I/O and reads no clock. It is safe for concurrent use.
package quarantiner
