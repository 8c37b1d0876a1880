package planner

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/rater"
)

// Table holds the candidate versions of one workspace and kind of request, one
// index per version, and the rated counts of the chains over them.
type Table struct {
	Version   []string
	Permitted []bool // allowed for the workspace and not withdrawn
	Cost      []float64
	// Prior is the configured quality in [0, 1], which orders versions that have
	// no ratings. The version with the highest prior is the best one.
	Prior []float64

	Only      []rater.Estimate // the version alone
	First     []rater.Estimate // the version's answers that passed their check, and the check results
	Escalated []rater.Estimate // index from*len(Version)+to: answers of to after a failed check of from

	HasCheck  bool
	CheckCost float64
	Target    float64          // mean quality that the workspace needs, in [0, 1]
	Met       []rater.Estimate // everything the workspace received lately, by kind and chain
	// Pooled holds the counts over all workspaces, or is nil. It only guides
	// exploration, since workspaces may differ.
	Pooled *Table

	// Set by Planner.Prepare.
	prepared   []bool // copy of Permitted
	options    []option
	met        float64 // lower bound of the met quality
	chosen     Plan
	mixed      Plan    // taken instead of chosen for a share of the requests
	mixedShare float64 // 0 if there is none
}

// AllWorkspaces is the workspace in whose counts those of all workspaces are
// repeated.
const AllWorkspaces = ""

// With returns a copy of t whose counts are those of r for one workspace and
// kind of request. Met covers the kinds in all. Pooled is read from
// AllWorkspaces.
func (t Table) With(r *rater.Rater, workspace, kind string, all []string, now clock.Millis) Table {
	pooled := t
	pooled.read(r, AllWorkspaces, kind, now)
	t.read(r, workspace, kind, now)
	t.Met = nil
	for _, k := range all {
		counts := t
		if k != kind {
			counts.read(r, workspace, k, now)
		}
		for _, list := range [][]rater.Estimate{counts.Only, counts.First, counts.Escalated} {
			for _, e := range list {
				if e.Served > 0 {
					t.Met = append(t.Met, e)
				}
			}
		}
	}
	t.Pooled, t.prepared = &pooled, nil
	return t
}

// read replaces the counts of the chains.
func (t *Table) read(r *rater.Rater, workspace, kind string, now clock.Millis) {
	n := len(t.Version)
	t.Only = make([]rater.Estimate, n)
	t.First = make([]rater.Estimate, n)
	t.Escalated = make([]rater.Estimate, n*n)
	key := rater.Key{Workspace: workspace, Kind: kind}
	for i, v := range t.Version {
		key.Version, key.From, key.Step = v, "", rater.StepOnly
		t.Only[i] = r.Estimate(key, now)
		key.Step = rater.StepFirst
		t.First[i] = r.Estimate(key, now)
		key.From, key.Step = v, rater.StepEscalated
		for j, to := range t.Version {
			key.Version = to
			t.Escalated[i*n+j] = r.Estimate(key, now)
		}
	}
}
