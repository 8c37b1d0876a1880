// Package spreader exchanges the quality counts and the roll-out records of one
// instance with its peers. Each round it sends the cells that a few random peers
// may lack, in messages of bounded size, so that the bytes per instance and
// second do not depend on the number of instances.
package spreader
