package scheduler

// SetWeights replaces the shares of the workspaces. Requests that wait keep their
// place; the new shares count from the next request on.
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
