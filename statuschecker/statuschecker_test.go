package statuschecker

import (
	"fmt"
	"testing"
)

// Guards against a code outside of the defined range that counts as informational, so that
// the next response is awaited, or as final.
func TestClassify(t *testing.T) {
	tests := map[int]Class{
		-1: Undefined, 0: Undefined, 99: Undefined, 100: Informational, 101: Undefined, 102: Informational,
		199: Informational, 200: Final, 404: Final, 599: Final, 600: Undefined, 999: Undefined,
	}
	for code, want := range tests {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			if got := Classify(code); got != want {
				t.Errorf("got %d, want %d", got, want)
			}
		})
	}
}
