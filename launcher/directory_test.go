package launcher

import (
	"fmt"
	"slices"
	"testing"

	"rosemaryarch.example/rosemaryarch/beater"
)

// Guards against a directory response that lists stopped instances, that has one
// address or none, or that needlessly lists another data centre. The outage case
// was first seen in a randomised fault test (kseal-router, trouble-3, seed
// 493165888973), in which 803 of 1,570 look-ups failed.
func TestAddressesFor(t *testing.T) {
	member := func(name, dc, state string) beater.Member {
		return beater.Member{Name: name, DataCentre: dc, Front: name, Ready: state == "ready", Leaving: state == "leaving"}
	}
	tests := map[string]struct {
		members []beater.Member
		want    []string
	}{
		"own data centre": {[]beater.Member{
			member("a", "x", "ready"), member("b", "x", "ready"), member("c", "y", "ready"),
		}, []string{"a", "b"}},
		"one is not enough": {[]beater.Member{member("a", "x", "ready"), member("c", "y", "ready")}, []string{"a", "c"}},
		"leaving": {[]beater.Member{
			member("a", "x", "ready"), member("b", "x", "leaving"), member("c", "y", "ready"),
		}, []string{"a", "c"}},
		"not confirmed": {[]beater.Member{
			member("a", "x", "ready"), member("b", "x", ""), member("c", "y", "ready"),
		}, []string{"a", "c"}},
		"outage of the store": {[]beater.Member{
			member("a", "x", ""), member("b", "x", "leaving"), member("c", "x", ""), member("d", "y", ""),
		}, []string{"a", "c"}},
		"all leaving": {[]beater.Member{member("a", "x", "leaving")}, nil},
		"none":        {nil, nil},
	}
	for name, tt := range tests {
		if got := addressesFor("x", tt.members); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
	var many []beater.Member
	for i := range 100 {
		many = append(many, member(fmt.Sprint(i), "x", "ready"))
	}
	if got := len(addressesFor("x", many)); got != maxDirectoryAddresses {
		t.Errorf("100 instances: got %d addresses, want %d", got, maxDirectoryAddresses)
	}
}
