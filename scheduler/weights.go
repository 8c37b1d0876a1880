package scheduler

// SetWeights replaces the weights of the workspaces. The virtual start times of
// the next requests are kept; the new weights apply from the requests after these.
func (s *Scheduler) SetWeights(weights map[string]float64) {
	s.weights = make(map[string]float64, len(weights))
	for name, w := range weights {
		s.weights[name] = w
	}
	for name, w := range s.workspaces {
		w.weight = s.weights[name]
		if w.weight <= 0 {
			w.weight = 1
		}
	}
}
