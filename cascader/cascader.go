package cascader

// Cascader holds the thresholds. Confidence runs from 0 to 100.
type Cascader struct {
	// Keep is the confidence from which an answer is kept while the endpoints
	// are idle.
	Keep float64
	// KeepLate replaces Keep where the larger model would answer after the
	// target: a late answer earns a third.
	KeepLate float64
	// PressureFrom and PressureTo are the work that waits at the endpoint, as a
	// share of the target, between which the threshold falls to 0.
	PressureFrom float64
	PressureTo   float64
}

// Default returns the thresholds of the platform deployment; docs/MEASURES.md
// has the curves.
func Default() Cascader {
	return Cascader{Keep: 48, KeepLate: 25, PressureFrom: 0.4, PressureTo: 1.6}
}

// Answer is what is known when the header of a small model's answer is there.
type Answer struct {
	Confidence float64 // negative: not stated
	Pressure   float64 // work that waits for the larger model, as a share of the target
	Late       bool    // the larger model would start after the target
	Room       float64 // part of the larger models' work that fits, 0 to 1
}

// Accept reports whether the answer is kept.
func (c Cascader) Accept(a Answer) bool {
	if a.Confidence < 0 {
		return true
	}
	return a.Confidence >= c.Threshold(a)
}

// Threshold returns the confidence from which an answer is kept. With little
// room the least confident answers are replaced first.
func (c Cascader) Threshold(a Answer) float64 {
	keep := c.Keep
	if a.Late {
		keep = c.KeepLate
	}
	over := (a.Pressure - c.PressureFrom) / (c.PressureTo - c.PressureFrom)
	return keep * a.Room * (1 - min(1, max(0, over)))
}
