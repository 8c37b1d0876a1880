// Package claimer executes non-idempotent calls at most once.
//
// A call is identified by workspace, service and key. Before anything is sent,
// a claim that names the attempt is committed by conditional update. An attempt
// is dispatched at most once, only after its claim is known to be committed,
// and only within its dispatch window. An attempt that leaves the table of its
// instance without being dispatched is abandoned for good, so a claim that
// lands late is never executed; whoever finds it asks the instance and takes
// the claim over by conditional update. An attempt that may have been sent is
// never taken over, unless the service itself vouches that it has not run and
// never will. Records are kept for the committer's retention, and a key must
// not be used again after that.
//
// "Not run" refers to the attempts of this call of Do: nothing was sent under
// them and nothing will be.
package claimer
