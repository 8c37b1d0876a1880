// Package configchecker checks a configuration text before it is sent to the
// fleet. It reports the errors of package parser, entries that can never match,
// limits that contradict each other, and the differences from the text in force.
//
// Load addressed: none at run time. A wrong text is found on the operator's
// machine and not by callers. Whether a workspace may use a version is decided by
// parser.Fleet.Permits, as at run time.
package configchecker
