package cascader

// Cascader holds the parameters of the threshold. Confidence ranges from 0 to
// 100, pressure is defined by Answer.
type Cascader struct {
	// MinConfidence is the confidence required to keep an answer while the
	// endpoints are idle.
	MinConfidence float64
	// MinConfidenceLate replaces MinConfidence if the larger model would respond
	// after the target latency: a late answer is worth a third of a timely one.
	MinConfidenceLate float64
	// PressureFrom and PressureTo bound the range of pressure in which the
	// threshold falls linearly to 0.
	PressureFrom float64
	PressureTo   float64
}

// Default returns the thresholds of the platform deployment; docs/MEASURES.md
// has the curves behind them.
func Default() Cascader {
	return Cascader{MinConfidence: 48, MinConfidenceLate: 25, PressureFrom: 0.4, PressureTo: 1.6}
}

// Answer describes a small model's answer when its response header has arrived.
type Answer struct {
	Confidence float64 // as stated by the model; negative if it is not stated
	Pressure   float64 // mean work queued at an endpoint plus that of the larger model, in units of the target latency
	Late       bool    // the larger model would respond after the target latency
	Capacity   float64 // share of the larger models' work for which there is capacity, 0 to 1
}

// Accept reports whether the answer is kept. An answer without stated confidence
// is always kept.
func (c Cascader) Accept(a Answer) bool {
	if a.Confidence < 0 {
		return true
	}
	return a.Confidence >= c.Threshold(a)
}

// Threshold returns the confidence required to keep an answer. It is
// proportional to the capacity, so that with little capacity the least confident
// answers are replaced first.
func (c Cascader) Threshold(a Answer) float64 {
	threshold := c.MinConfidence
	if a.Late {
		threshold = c.MinConfidenceLate
	}
	excess := (a.Pressure - c.PressureFrom) / (c.PressureTo - c.PressureFrom)
	return threshold * a.Capacity * (1 - min(1, max(0, excess)))
}
