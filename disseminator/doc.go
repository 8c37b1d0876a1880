// Package disseminator exchanges the quality counts and the roll-out records of one
// instance with its peers by gossip. In each round it sends random peers the
// cells of the count table that they may lack, in messages of bounded size, so
// that the bytes per instance and second do not depend on the number of instances.
package disseminator
