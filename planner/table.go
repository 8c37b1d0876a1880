package planner

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
)

// Table holds the candidate versions for one workspace and kind of request, as
// slices with one element per version, and the counts of the chains over them.
type Table struct {
	Version   []string  // version keys
	Permitted []bool    // the workspace may use the version, which is not withdrawn
	Cost      []float64 // price of one answer, in the unit of CheckCost
	// Prior is the configured quality in [0, 1], by which versions without ratings
	// are ordered. The version with the highest prior is the best one.
	Prior []float64

	Only      []estimator.Estimate // answers of the version alone
	First     []estimator.Estimate // answers of the version that passed their check, and the results of all checks
	Escalated []estimator.Estimate // index from*len(Version)+to: answers of to after a failed check of from

	HasCheck  bool                 // cascades are allowed
	CheckCost float64              // price of one check
	Target    float64              // mean quality that the workspace requires, in [0, 1]
	Achieved  []estimator.Estimate // counts of all recent answers to the workspace, by kind and chain
	// Pooled holds the counts over all workspaces, or is nil. It only guides
	// exploration, since workspaces may differ.
	Pooled *Table

	// Set by Planner.Prepare.
	prepared   []bool // copy of Permitted; nil if the table is not prepared
	chains     []boundedChain
	achieved   float64 // lower bound of the mean quality of the recent answers
	chosen     Plan    // plan without exploration
	mixed      Plan    // replaces chosen for mixedShare of the requests
	mixedShare float64 // 0 if there is no mixture
}

// AllWorkspaces is the workspace under which the counts over all workspaces are
// recorded in addition.
const AllWorkspaces = ""

// WithCounts returns a copy of t with the counts of est for one workspace and kind
// of request. Achieved has the counts of all given kinds, and Pooled those of
// AllWorkspaces.
func (t Table) WithCounts(est *estimator.Estimator, workspace, kind string, kinds []string, now clock.Millis) Table {
	pooled := t
	pooled.readCounts(est, AllWorkspaces, kind, now)
	t.readCounts(est, workspace, kind, now)
	t.Achieved = nil
	for _, k := range kinds {
		counts := t
		if k != kind {
			counts.readCounts(est, workspace, k, now)
		}
		for _, list := range [][]estimator.Estimate{counts.Only, counts.First, counts.Escalated} {
			for _, e := range list {
				if e.Served > 0 {
					t.Achieved = append(t.Achieved, e)
				}
			}
		}
	}
	t.Pooled, t.prepared = &pooled, nil
	return t
}

// readCounts replaces the counts of the chains by those of est.
func (t *Table) readCounts(est *estimator.Estimator, workspace, kind string, now clock.Millis) {
	n := len(t.Version)
	t.Only = make([]estimator.Estimate, n)
	t.First = make([]estimator.Estimate, n)
	t.Escalated = make([]estimator.Estimate, n*n)
	key := estimator.Key{Workspace: workspace, Kind: kind}
	for i, v := range t.Version {
		key.Version, key.From, key.Step = v, "", estimator.StepOnly
		t.Only[i] = est.Estimate(key, now)
		key.Step = estimator.StepFirst
		t.First[i] = est.Estimate(key, now)
		key.From, key.Step = v, estimator.StepEscalated
		for j, to := range t.Version {
			key.Version = to
			t.Escalated[i*n+j] = est.Estimate(key, now)
		}
	}
}
