package configchecker_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/configchecker"
	"rosemaryarch.example/rosemaryarch/parser"
)

const base = `fleet: f
data_centres: [{name: oita, region: kyushu}]
models:
  - {name: small, input_cost: 2, output_cost: 6, first_token_ms: 60, versions: [{name: v1, state: serving}]}
  - {name: large, input_cost: 9, output_cost: 9, first_token_ms: 90, versions: [{name: v2, state: serving}]}
services:
  - {name: tags, kind: model, models: [small, large], deadline_ms: 9000}
  - {name: orders, kind: plain}
workspaces:
  - {name: one, services: [tags, orders], models: [small, large], quality: 0.8, key_sha256: [HASH]}
`

var oldHash, newHash = parser.HashKey("one"), parser.HashKey("new")

// split returns base with the replacements among items, which have the form
// "old => new", and the other items, which are wanted.
func split(items []string) (text []byte, want []string) {
	var pairs []string
	for _, item := range items {
		if before, after, ok := strings.Cut(item, " => "); ok {
			pairs = append(pairs, before, after)
		} else {
			want = append(want, item)
		}
	}
	return []byte(strings.NewReplacer(append(pairs, "HASH", oldHash)...).Replace(base)), want
}

// TestFindings guards against a fault that is not found, is found at another entry
// or line, or does not name the values, and against findings in a sound text.
func TestFindings(t *testing.T) {
	for name, items := range map[string][]string{ // "line kind path: start of the message"
		"sound":            {},
		"service not used": {"[tags, orders] => [tags]", `8 unreachable services[1]: no workspace lists service "orders"`},
		"model not used": {"[small, large], d => [small], d", `5 unreachable models[1]: no service lists model "large"`,
			`10 unreachable workspaces[0].models[1]: no service of workspace "one" has a version of "large"`},
		"no key": {"[HASH] => []", `10 unreachable workspaces[0]: workspace "one" has no key`},
		"no service": {"[tags, orders], models: [small, large] => [], models: []",
			`4 unreachable models[0].versions[0]: no workspace may use version "small@v1"`,
			`5 unreachable models[1].versions[0]: no workspace`, `7 unreachable services[0]: no workspace`,
			`8 unreachable services[1]: no workspace`, `10 unreachable workspaces[0]: workspace "one" lists no service`},
		"no model": {"[small, large], q => [], q",
			`4 unreachable models[0].versions[0]: no workspace`, `5 unreachable models[1].versions[0]: no workspace`,
			`10 unreachable workspaces[0].services[0]: workspace "one" may use no version of the models of service "tags" (sm`},
		"all withdrawn": {"v2, state: serving => v2, state: withdrawn",
			`7 unreachable services[0].models[1]: service "tags" lists model "large", all`,
			`10 unreachable workspaces[0].models[1]: no service of workspace "one"`},
		"listed twice": {"[tags, orders] => [tags, orders, tags]",
			`10 unreachable workspaces[0].services[2]: "tags" is listed already as item 0`},
		"version and model": {"[small, large], q => [small@v1, small, large], q",
			`10 unreachable workspaces[0].models[0]: "small@v1" is permitted already by "small"`},
		"deadline": {"deadline_ms: 9000 => deadline_ms: 90", `7 contradiction services[0].models[1]: ` +
			`first_token_ms 90 of model "large" is not below deadline_ms 90 of service "tags"`},
		"retention": {"fleet: f => fleet: f\nsessions: {retention_ms: 29999}", `2 contradiction sessions.retention_ms: ` +
			`retention_ms 29999 is below deadline_ms 30000 of service "orders"`},
		"first token": {"quality: 0.8 => first_token_ms: 59", `10 contradiction workspaces[0].first_token_ms: ` +
			`first_token_ms 59 of workspace "one" is below first_token_ms 60 of its fastest model "small"`},
		"canaries above 100": {"v1, state: serving => v1, state: serving}, " +
			"{name: v2, state: canary, share_percent: 60}, {name: v3, state: canary, share_percent: 50",
			`4 contradiction models[0].versions: the share_percent of the canaries of model "small" add up to 110`},
		"canary alone": {"v1, state: serving => v1, state: canary, share_percent: 10", `4 contradiction ` +
			`models[0].versions[0].share_percent: share_percent 10 of canary "small@v1" has no effect`},
		"share without canary": {"v1, state: serving => v1, state: serving, share_percent: 10", `4 contradiction ` +
			`models[0].versions[0].share_percent: share_percent 10 has no effect in state serving of version "small@v1"`},
		"errors": {"input_cost: 2 => input_cost: -2", "kind: plain => kind: none",
			`4 error models[0]: model "small" needs costs`, `8 error services[1].kind: "none" is not one of`},
		"duplicate key": {"fleet: f => fleet: f\nfleet: g", `2 error : mapping key "fleet" already defined at line 1`},
		"hash as field": {"fleet: f => fleet: f\n" + oldHash + ": g", `2 error : ` + oldHash[:8] + "...: unknown field"},
		"nesting": {"fleet: f => fleet: " + strings.Repeat("[", 99) + strings.Repeat("]", 99),
			`1 error : more than 32`},
		"alias to itself": {"fleet: f => fleet: &f [*f]", `1 error : fleet: !!seq cannot be read as string`},
		"alias expansion": {"fleet: f => a: &a [" + strings.Repeat("x,", 999) + "]\nb: [" + strings.Repeat("*a,", 999) + "]",
			`2 error : more than 500000 values after the expansion of aliases`},
	} {
		t.Run(name, func(t *testing.T) {
			text, want := split(items)
			var got []string
			for _, f := range configchecker.Check("f", text, nil).Findings {
				got = append(got, fmt.Sprintf("%d %s %s: %s", f.Line, f.Kind, f.Path, f.Message))
			}
			if !slices.EqualFunc(got, want, strings.HasPrefix) {
				t.Errorf("got %q, want the starts %q", got, want)
			}
		})
	}
}

// TestDifferences guards against a difference that is left out, is reported without
// both values or shows a key hash, and against one that depends on the form only.
func TestDifferences(t *testing.T) {
	text, _ := split(nil)
	inForce, err := parser.Parse("in force", text)
	if err != nil {
		t.Fatal(err)
	}
	const plain = "kind: plain, deadline_ms: 30000, max_concurrent: 32}"
	for name, items := range map[string][]string{
		"none":           {},
		"default stated": {"kind: plain => kind: plain, deadline_ms: 30000"},
		"value":          {"quality: 0.8 => quality: 0.9", "changed workspaces[one].quality: 0.8 -> 0.9"},
		"entry": {"orders => visits",
			"removed services[orders]: {name: orders, " + plain, "added services[visits]: {name: visits, " + plain,
			"removed workspaces[one].services[orders]: orders", "added workspaces[one].services[visits]: visits"},
		"order": {"[small, large], d => [large, small], d",
			"changed services[tags].models: [small, large] -> [large, small]"},
		"key": {"HASH => " + newHash,
			"added workspaces[one].key_sha256[" + newHash[:8] + "...]: " + newHash[:8] + "...",
			"removed workspaces[one].key_sha256[" + oldHash[:8] + "...]: " + oldHash[:8] + "..."},
		"escape": {`region: kyushu => region: "\e[2J"`, `changed data_centres[oita].region: kyushu -> \x1b[2J`},
	} {
		t.Run(name, func(t *testing.T) {
			text, want := split(items)
			r := configchecker.Check("f", text, inForce)
			var b strings.Builder
			if err := r.WriteText(&b); err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(b.String(), "\n")
			if got := lines[:len(lines)-2]; !slices.Equal(got, want) {
				t.Errorf("got %q, want %q", got, want)
			}
			encoded, _ := json.Marshal(r)
			if got := string(encoded); strings.Contains(got, oldHash) || !strings.Contains(got, `"findings":[]`) {
				t.Errorf("got %s, want an empty list of findings and no hash", got)
			}
		})
	}
}

// TestLargeFleet guards against a check of a hostile fleet with 400,000
// permissions, each in a list of 5,000, that takes minutes, or that lists its
// findings without bound.
func TestLargeFleet(t *testing.T) {
	var services, names, workspaces strings.Builder
	for i := range 5_000 {
		fmt.Fprintf(&services, "  - {name: s%d, kind: model, models: [small, large]}\n", i)
		fmt.Fprintf(&names, "s%d, ", i)
	}
	for i := range 40 {
		fmt.Fprintf(&workspaces, "  - {name: w%d, services: [%s], models: [small]}\n", i, names.String())
	}
	text, _ := split([]string{
		"services:\n => services:\n" + services.String(), "workspaces:\n => workspaces:\n" + workspaces.String(),
	})
	r := configchecker.Check("f", text, nil)
	stopped := slices.ContainsFunc(r.Findings, func(f configchecker.Finding) bool {
		return strings.Contains(f.Message, "too many combinations")
	})
	if !stopped || len(r.Findings) > 1_000 {
		t.Errorf("got %d findings and stopped %t, want at most 1000 and true", len(r.Findings), stopped)
	}
}
