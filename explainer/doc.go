// Package explainer selects the log lines that help to explain one request. These
// are the lines with its id and, from 3 s before its start to 3 s after its end,
// the lines about its endpoints and about the state of the instances that handled
// it. Log lines are JSON objects with the fields time, node and event.
package explainer
