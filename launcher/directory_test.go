package launcher

import (
	"fmt"
	"slices"
	"testing"

	"rosemaryarch.example/rosemaryarch/heartbeater"
)

// Guards against a directory response that lists stopped instances, that has one
// address or none, or that needlessly lists another data centre. The outage case
// was first seen in a randomised fault test (kseal-router, trouble-3, seed
// 493165888973), in which 803 of 1,570 look-ups failed.
func TestAddressesFor(t *testing.T) {
	member := func(name, dc, state string) heartbeater.Member {
		return heartbeater.Member{
			Name: name, DataCentre: dc, FrontendAddress: name, Ready: state == "ready", Leaving: state == "leaving",
		}
	}
	tests := map[string]struct {
		members []heartbeater.Member
		want    []string
	}{
		"own data centre": {[]heartbeater.Member{
			member("a", "x", "ready"), member("b", "x", "ready"), member("c", "y", "ready"),
		}, []string{"a", "b"}},
		"one is not enough": {[]heartbeater.Member{member("a", "x", "ready"), member("c", "y", "ready")}, []string{"a", "c"}},
		"leaving": {[]heartbeater.Member{
			member("a", "x", "ready"), member("b", "x", "leaving"), member("c", "y", "ready"),
		}, []string{"a", "c"}},
		"not confirmed": {[]heartbeater.Member{
			member("a", "x", "ready"), member("b", "x", ""), member("c", "y", "ready"),
		}, []string{"a", "c"}},
		"outage of the store": {[]heartbeater.Member{
			member("a", "x", ""), member("b", "x", "leaving"), member("c", "x", ""), member("d", "y", ""),
		}, []string{"a", "c"}},
		"all leaving": {[]heartbeater.Member{member("a", "x", "leaving")}, nil},
		"none":        {nil, nil},
	}
	for name, tt := range tests {
		if got := addressesFor("x", tt.members); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
	var many []heartbeater.Member
	for i := range 100 {
		many = append(many, member(fmt.Sprint(i), "x", "ready"))
	}
	if got := len(addressesFor("x", many)); got != maxDirectoryAddresses {
		t.Errorf("100 instances: got %d addresses, want %d", got, maxDirectoryAddresses)
	}
}
