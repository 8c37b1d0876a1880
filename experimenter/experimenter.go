package experimenter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// ErrUnknownExperiment is returned if no experiment has the given name.
var ErrUnknownExperiment = errors.New("experimenter: unknown experiment")

// Row holds the measured values of one variant of an experiment, one for each
// column of the result.
type Row struct {
	Label  string    `json:"label"`
	Values []float64 `json:"values"`
}

// Target is a bound that a measured value should satisfy.
type Target struct {
	Name     string  `json:"name"`
	Measured float64 `json:"got"`
	Limit    float64 `json:"limit"`
	// AtLeast is true if Limit is a lower bound and false if it is an upper bound.
	AtLeast bool `json:"at_least"`
}

// Met reports whether the measured value is within the bound.
func (t Target) Met() bool {
	if t.AtLeast {
		return t.Measured >= t.Limit
	}
	return t.Measured <= t.Limit
}

// Curve is one line of the plot of a result, as points (X[i], Y[i]).
type Curve struct {
	Label string    `json:"label"`
	X     []float64 `json:"x"`
	Y     []float64 `json:"y"`
}

// Result holds the measured values of one run of an experiment.
type Result struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Columns []string `json:"columns"` // names of the values in each row, with units, such as "p95_ms"
	Rows    []Row    `json:"rows"`
	Targets []Target `json:"targets"`
	XAxis   string   `json:"x_axis,omitempty"`
	YAxis   string   `json:"y_axis,omitempty"`
	Curves  []Curve  `json:"curves,omitempty"`
}

// Experiment is a named simulation. Run returns the same result for the same seed.
type Experiment struct {
	Name    string
	Summary string
	Run     func(seed uint64) Result
}

// Experimenter is an immutable set of experiments with unique names. The zero
// value is empty.
type Experimenter struct {
	experiments map[string]Experiment
}

// With returns a copy of the set with x added. It panics if the set already has
// an experiment of that name.
func (e Experimenter) With(x Experiment) Experimenter {
	if _, ok := e.experiments[x.Name]; ok {
		panic("experimenter: duplicate experiment " + x.Name)
	}
	c := Experimenter{experiments: map[string]Experiment{x.Name: x}}
	for k, v := range e.experiments {
		c.experiments[k] = v
	}
	return c
}

// Experiments returns all experiments, sorted by name.
func (e Experimenter) Experiments() []Experiment {
	var all []Experiment
	for _, x := range e.experiments {
		all = append(all, x)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Run runs the named experiment. It returns ErrUnknownExperiment if there is no
// such experiment.
func (e Experimenter) Run(name string, seed uint64) (Result, error) {
	x, ok := e.experiments[name]
	if !ok {
		return Result{}, errors.Wrapf(ErrUnknownExperiment, "%q", name)
	}
	r := x.Run(seed)
	r.Name, r.Seed = name, seed
	return r, nil
}

// WriteTable writes the rows as an aligned text table, followed by the targets.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s (seed %d)\t%s\t\n", r.Name, r.Seed, strings.Join(r.Columns, "\t"))
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t", row.Label)
		for _, v := range row.Values {
			fmt.Fprintf(t, "%.4g\t", v)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "experimenter: write table")
	}
	for _, target := range r.Targets {
		relation, verdict := "at most", "met"
		if target.AtLeast {
			relation = "at least"
		}
		if !target.Met() {
			verdict = "NOT MET"
		}
		fmt.Fprintf(w, "  %s: %.4g, target %s %.4g: %s\n", target.Name, target.Measured, relation, target.Limit, verdict)
	}
	return nil
}
