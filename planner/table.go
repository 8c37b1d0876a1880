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
	Target    float64        // mean quality that the workspace needs, in [0, 1]
	Met       rater.Estimate // ratings of everything the workspace received lately

	options []option // set by Planner.Prepare, like explore
	explore float64
}

// With returns a copy of t whose counts are those of r for one workspace and
// kind of request. Met is the sum over the kinds in all.
func (t Table) With(r *rater.Rater, workspace, kind string, all []string, now clock.Millis) Table {
	n := len(t.Version)
	t.Only = make([]rater.Estimate, n)
	t.First = make([]rater.Estimate, n)
	t.Escalated = make([]rater.Estimate, n*n)
	t.Met = rater.Estimate{}
	t.options = nil
	for _, k := range all {
		read := func(from, version string, step uint8) rater.Estimate {
			e := r.Estimate(rater.Key{Workspace: workspace, Kind: k, Version: version, From: from, Step: step}, now)
			t.Met = t.Met.Plus(e)
			return e
		}
		for i, v := range t.Version {
			only, first := read("", v, rater.StepOnly), read("", v, rater.StepFirst)
			if k == kind {
				t.Only[i], t.First[i] = only, first
			}
			for j, to := range t.Version {
				escalated := read(v, to, rater.StepEscalated)
				if k == kind {
					t.Escalated[i*n+j] = escalated
				}
			}
		}
	}
	return t
}
