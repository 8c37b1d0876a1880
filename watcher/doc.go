// Package watcher follows kinds of objects in the platform's store and tells
// up to which moment the store is known to have been read. One kind is watched
// with short waits and shows whether the store answers; the others wait long
// and are called only while it does, since every call has a price.
package watcher
