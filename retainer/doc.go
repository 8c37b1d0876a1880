// Package retainer keeps what is known of the objects in a store while the store
// shows an older copy of them.
//
// A store that comes back from a copy lacks its latest changes until their authors
// write them again. A program that had read these changes must neither step back to
// what the copy shows, nor drop what it lacks. A Retainer stands between the reads
// of one kind of objects and the program. Where the content of an object tells which
// of two states is the later one, the later one counts; otherwise the known one
// counts for some time, unless the store reports a change of the object.
package retainer
