package parser_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"rosemaryarch.example/rosemaryarch/decoder"
	"rosemaryarch.example/rosemaryarch/examples"
	"rosemaryarch.example/rosemaryarch/parser"
)

const validText = `fleet: f
data_centres:
  - {name: oita, region: kyushu}
models:
  - name: small
    input_cost: 20
    output_cost: 60
    first_token_ms: 60
    versions:
      - {name: v1, state: serving}
services:
  - {name: tags, kind: model, models: [small]}
workspaces:
  - name: one
    services: [tags]
    models: [small]
    key_sha256: [HASH]
  - name: two
    services: [tags]
    models: [small@v1]
`

func text() string {
	return strings.Replace(validText, "HASH", parser.HashKey("key of one"), 1)
}

// TestParseErrors guards against an invalid text that is accepted, and against
// errors that do not name the line and field.
func TestParseErrors(t *testing.T) {
	if _, err := parser.Parse("f", []byte(text())); err != nil {
		t.Fatal(err)
	}
	hash := parser.HashKey("key of one")
	tests := map[string]struct{ old, new, want string }{
		"unknown field": {"input_cost", "inputcost", "f:6: inputcost: unknown field"},
		"no fleet":      {"fleet: f\n", "", `f:1: fleet: "" is not a name`},
		"no data centre": {
			"  - {name: oita, region: kyushu}\n", "",
			"f:2: data_centres: at least one data centre is needed",
		},
		"no region": {
			", region: kyushu", "",
			`f:3: data_centres[0].region: data centre "oita" needs a region`,
		},
		"path as name": {"oita", "../oita", "f:3: data_centres[0].name: \"../oita\" is not a name"},
		"data centre twice": {
			"kyushu}\n", "kyushu}\n  - {name: oita, region: a}\n",
			`f:4: data_centres[1].name: "oita" is listed twice`,
		},
		"version twice": {
			"serving}\n", "serving}\n      - {name: v1, state: serving}\n",
			`f:11: models[0].versions[1].name: "v1" is listed twice`,
		},
		"workspace twice":    {"name: two", "name: one", `f:18: workspaces[1].name: "one" is listed twice`},
		"price not a number": {"input_cost: 20", "input_cost: cheap", "f:6: input_cost: !!str cannot be read as int64"},
		"price below zero": {
			"input_cost: 20", "input_cost: -1",
			`f:5: models[0]: model "small" needs costs above zero`,
		},
		"first token time of zero": {
			"first_token_ms: 60", "first_token_ms: 0",
			`f:8: models[0].first_token_ms: model "small" needs a time above zero`,
		},
		"concurrency": {
			"    versions", "    max_concurrent: 99999\n    versions",
			"f:9: models[0].max_concurrent: must be between 1 and 10000",
		},
		"state": {"state: serving", "state: on", `f:10: models[0].versions[0].state: "on" is not one of`},
		"canary without share": {
			"state: serving", "state: canary",
			"f:10: models[0].versions[0].share_percent: a canary needs a share",
		},
		"deadline": {
			"kind: model,", "kind: model, deadline_ms: 3600001,",
			"f:12: services[0].deadline_ms: must be between 0 and 3600000",
		},
		"rating percentage": {
			"kind: model,", "kind: model, rating_percent: 101,",
			"f:12: services[0].rating_percent: must be between 0 and 100",
		},
		"rating percentage NaN": {
			"kind: model,", "kind: model, rating_percent: .nan,",
			"f:12: services[0].rating_percent: must be between 0 and 100",
		},
		"quality NaN": {
			"name: two", "name: two\n    quality: .nan",
			"f:19: workspaces[1].quality: must be at least 0 and below 1",
		},
		"share NaN":      {"name: two", "name: two\n    share: .nan", "f:19: workspaces[1].share: must"},
		"share infinite": {"name: two", "name: two\n    share: .inf", "f:19: workspaces[1].share: must"},
		"cost overflow":  {"input_cost: 20", "input_cost: 9223372036854775807", "f:5: models[0]: model"},
		"unknown model": {
			"models: [small@v1]", "models: [small@v2]",
			`f:20: workspaces[1].models[0]: "small@v2" is neither a model nor a version`,
		},
		"unknown service": {
			"name: two\n    services: [tags]", "name: two\n    services: [tag]",
			`f:19: workspaces[1].services[0]: service "tag" is not`,
		},
		"key of two workspaces": {
			"[small@v1]", "[small@v1]\n    key_sha256: [" + hash + "]",
			`f:21: workspaces[1].key_sha256[0]: the key belongs to workspace "one" already`,
		},
		"key instead of hash": {hash, "demo-key-one", "f:17: workspaces[0].key_sha256[0]: not a SHA-256"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parser.Parse("f", []byte(strings.Replace(text(), test.old, test.new, 1)))
			if !errors.Is(err, decoder.ErrInvalid) {
				t.Fatalf("got %v, want decoder.ErrInvalid", err)
			}
			if got := err.Error(); !strings.HasPrefix(got, test.want) || strings.Contains(got, "\n") {
				t.Errorf("got %q, want one line from %q on", got, test.want)
			}
		})
	}
}

// TestInspect guards against a text of which only the first error is reported, and
// against an error that causes others where the entry is used.
func TestInspect(t *testing.T) {
	invalid := strings.NewReplacer("oita", "OITA", "input_cost: 20", "input_cost: -1", "serving", "on", "[tags]", "[tag]")
	var got []string
	for _, err := range parser.Inspect("f", []byte(invalid.Replace(text()))).Errors {
		var f *decoder.Fault
		if !errors.As(err, &f) || !errors.Is(err, decoder.ErrInvalid) {
			t.Fatalf("got %v, want a decoder.Fault", err)
		}
		got = append(got, fmt.Sprint(f.Line, " ", f.Path))
	}
	want := []string{
		"3 data_centres[0].name", "5 models[0]", "10 models[0].versions[0].state",
		"15 workspaces[0].services[0]", "19 workspaces[1].services[0]",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// FuzzParse guards against a text that makes Parse panic, and against an accepted
// fleet that is rejected or changes when it is encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(examples.Kyushu)
	f.Add(examples.KeralaCentral)
	f.Fuzz(func(t *testing.T, text string) {
		first, err := parser.Parse("fuzz", []byte(text))
		if err != nil {
			if got := fmt.Sprint(err); strings.Contains(got, "\n") {
				t.Errorf("got the error %q, want one line", got)
			}
			return
		}
		encoded, err := yaml.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := parser.Parse("again", encoded)
		if err != nil {
			t.Fatalf("the encoded form of an accepted fleet is rejected: %v\n%s", err, encoded)
		}
		reencoded, err := yaml.Marshal(second)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := string(reencoded), string(encoded); got != want {
			t.Errorf("got %s after another pass, want %s", got, want)
		}
		if got, want := second.VersionKeys(), first.VersionKeys(); !slices.Equal(got, want) {
			t.Errorf("got the versions %v, want %v", got, want)
		}
	})
}
