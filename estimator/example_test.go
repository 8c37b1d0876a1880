package estimator_test

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/estimator"
)

// The one-sided bounds of the same proportion are wider for fewer trials.
func ExampleWilson() {
	for _, trials := range []float64{10, 1000} {
		lower, upper := estimator.Wilson(0.9*trials, trials, 0.05)
		fmt.Printf("%.2f to %.2f\n", lower, upper)
	}
	// Output:
	// 0.65 to 0.98
	// 0.88 to 0.91
}
