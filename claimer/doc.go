// Package claimer executes non-idempotent calls at most once.
//
// A call is identified by workspace, service and key. Before anything is sent,
// a claim that names the attempt is committed by conditional update. An attempt
// is dispatched at most once, only after its claim is known to be committed,
// and only within its dispatch window. An attempt that is removed from the
// attempt table of its instance without having been dispatched is abandoned
// permanently, so a claim that the store applies late is never executed. Another
// instance that reads such a claim asks the claiming instance and takes the
// claim over by conditional update. An attempt that may have been sent is never
// taken over, unless the service's look-up states that the attempt has not run
// and never will. Records are kept for the committer's retention, and a key must
// not be used again after that.
//
// An error that states "not executed" refers to the attempts of one call of Do:
// nothing was sent under them and nothing will be.
package claimer
