package reconciler

import "rosemaryarch.example/rosemaryarch/parser"

// Shares returns the versions that must be loaded, with their shares of the traffic
// of their model in [0, 1]. A canary has the share that the configuration gives it,
// and the serving versions of the model divide the rest evenly. All models have
// the same weight, since their traffic is not considered.
func Shares(f *parser.Fleet) map[string]float64 {
	const percent = 100
	shares := map[string]float64{}
	for _, m := range f.Models {
		rest, serving := 1.0, 0
		for _, v := range m.Versions {
			switch v.State {
			case parser.StateCanary:
				shares[v.Key] = v.SharePercent / percent
				rest -= shares[v.Key]
			case parser.StateServing:
				serving++
			}
		}
		for _, v := range m.Versions {
			if v.State == parser.StateServing {
				shares[v.Key] = max(rest, 0) / float64(serving)
			}
		}
	}
	return shares
}
