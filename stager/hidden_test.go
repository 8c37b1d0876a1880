package stager

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against a bad version that is completed because the old version's endpoints
// crash for reasons of their own. Seen on thekkedath-tabs, day deadly-rollout, seed 13.
func TestCrashesHideNoBadVersion(t *testing.T) {
	tests := map[string]simulatedVersion{
		"half of one kind fails":                {failShare: 0.5, kind: "plain"},
		"half of one kind fails, later":         {failShare: 0.5, kind: "long answer", from: 3000},
		"a third fails":                         {failShare: 0.33},
		"half of one kind fails, rare crashes":  {failShare: 0.5, kind: "label", crashes: crashes{2000, 12000, 1200}},
		"half of one kind fails, crashes early": {failShare: 0.5, kind: "label", crashes: crashes{500, 4000, 350}},
	}
	for name, version := range tests {
		t.Run(name, func(t *testing.T) {
			if version.crashes.interval == 0 {
				version.crashes = requestsCrash
			}
			checkRolledBack(t, 15*clock.Second, version)
		})
	}
}

// Guards against a good version that is rolled back because requests have crashed
// endpoints of it, each under several others. Seen on kseal-router, day
// deadly-sound-rollout, seed 13.
func TestCrashesStopNoGoodVersion(t *testing.T) {
	tests := map[string]crashes{
		"many":  requestsCrash,
		"few":   {2000, 12000, 1200},
		"early": {800, 4000, 350},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			const runs = 300
			stopped := 0
			for _, m := range simulateAll(runs, 15*clock.Second, simulatedVersion{crashes: c}) {
				if m.phase == RolledBack {
					stopped++
				}
			}
			t.Logf("rolled back: %d of %d", stopped, runs)
			if stopped >= runs/100 {
				t.Errorf("got %d rolled back, want fewer than %d of %d", stopped, runs/100, runs)
			}
		})
	}
}

// Guards against a version that crashes its own endpoints and is completed, since
// crashes alone are weak evidence.
func TestCrashingVersionIsRolledBack(t *testing.T) {
	const runs = 50
	completed := 0
	for _, m := range simulateAll(runs, 15*clock.Second, simulatedVersion{breakShare: 0.33}) {
		if m.phase != RolledBack {
			completed++
		}
	}
	if completed > 0 {
		t.Errorf("got %d of %d not rolled back, want none", completed, runs)
	}
}

// Guards against a bad version that shows nothing during its roll-out, for example
// since it fails under more load only, and serves more requests than the bound allows.
// Seen on kseal-router and thekkedath-tabs, day hasty-under-load.
func TestHiddenBadVersionIsBounded(t *testing.T) {
	small, large := Exposure{Fraction: 0.15, Slack: 30}, Exposure{Fraction: 0.12, Slack: 30}
	tests := map[string]struct {
		version  simulatedVersion
		duration clock.Millis
	}{
		"15 s":                {simulatedVersion{bound: small}, 15 * clock.Second},
		"24 s":                {simulatedVersion{bound: small}, 24 * clock.Second},
		"much traffic, 16 s":  {simulatedVersion{bound: large, rate: 400}, 16 * clock.Second},
		"much traffic, 24 s":  {simulatedVersion{bound: large, rate: 400}, 24 * clock.Second},
		"surge":               {simulatedVersion{bound: small, surge: 1.4}, 15 * clock.Second},
		"much traffic, surge": {simulatedVersion{bound: large, rate: 400, surge: 1.4}, 24 * clock.Second},
		"little traffic":      {simulatedVersion{bound: small, rate: 8}, 15 * clock.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const runs = 50
			exposed, late, most := 0, 0, 0.0
			for _, m := range simulateAll(runs, tt.duration, tt.version) {
				allowed := tt.version.bound.Fraction*float64(m.served) + tt.version.bound.Slack
				most = max(most, float64(m.byTarget)/allowed)
				if float64(m.byTarget) > allowed {
					exposed++
				}
				if m.phase != Completed {
					late++
				}
			}
			t.Logf("not completed: %d of %d; at most %.2f of the allowed requests", late, runs, most)
			if exposed > 0 || late > 0 {
				t.Errorf("got %d with too many requests and %d not completed, want none of %d", exposed, late, runs)
			}
		})
	}
}
