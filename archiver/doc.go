// Package archiver stores a copy of the fleet's quality counts in the object API,
// so that the quality estimates of the versions survive if all instances are
// replaced at once. A loaded copy is merged like a message of a peer, so that
// loading an old copy, or the same copy again, cannot falsify the counts.
package archiver
