// Package picker chooses the endpoint to which a request for a version is sent.
// It compares a few candidates by the expected time to the first token in
// milliseconds, which depends on the estimated load of the endpoint, the distance
// of its data centre and the part of the prompt that its prefix cache probably
// holds. Some candidates are random, so that instances with the same load reports
// do not all choose the same endpoint.
package picker
