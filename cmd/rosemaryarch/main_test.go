package main

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestSubcommandsImplementCommand guards against a subcommand that is accepted but
// does nothing, because its type has no run method. This was the case for
// "datacentre out" and "endpoint in".
func TestSubcommandsImplementCommand(t *testing.T) {
	wanted := reflect.TypeFor[command]()
	var check func(name string, args reflect.Type)
	check = func(name string, args reflect.Type) {
		for i := range args.NumField() {
			f := args.Field(i)
			if !strings.Contains(f.Tag.Get("arg"), "subcommand:") {
				continue
			}
			if !f.Type.Implements(wanted) {
				t.Errorf("%s %s: got a type without run, want a command", name, f.Name)
			}
			check(name+" "+f.Name, f.Type.Elem())
		}
	}
	check("rosemaryarch", reflect.TypeFor[arguments]())
}

const example = "../../examples/kyushu.yaml"

// TestConfigCheckExitCodes guards against a text with findings that counts as sound,
// and against a sound one that is reported.
func TestConfigCheckExitCodes(t *testing.T) {
	for args, want := range map[string]int{
		example: 0, example + " --json --against " + example: 0,
		example + " --against ../../examples/kerala-central.yaml": 0, // differences alone are no finding
		"main.go": exitFailed, "main.go --json": exitFailed, "": exitUsage, example + " b": exitUsage,
	} {
		var stdout, stderr bytes.Buffer
		got := runCommand(strings.Fields("config check "+args), &stdout, &stderr)
		if got != want || want == exitFailed && stderr.Len()+stdout.Len() > 0 {
			t.Errorf("config check %s: got exit code %d and %q, want %d", args, got, stderr.String(), want)
		}
	}
}

// TestCommandLineErrors guards against an invalid command line that exits with 0,
// prints the whole help text, or does not name the mistake.
func TestCommandLineErrors(t *testing.T) {
	t.Setenv("ROSEMARYARCH_KEY_FILE", "")
	key := filepath.Join(t.TempDir(), "operator.key")
	if err := os.WriteFile(key, []byte("any\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args string
		code int
		want string
	}{
		"no subcommand":            {"", exitUsage, "a subcommand is needed"},
		"unknown subcommand":       {"bogus", exitUsage, "bogus"},
		"incomplete":               {"datacentre", exitUsage, "datacentre needs out or in"},
		"missing argument":         {"datacentre out", exitUsage, "NAME is required"},
		"too many arguments":       {"endpoint in a b", exitUsage, "too many"},
		"no key file":              {"datacentre out oita", exitFailed, "--key-file"},
		"unreadable text in check": {"config check none.yaml", exitUsage, "none.yaml"},
		"text without end":         {"config check /dev/zero", exitUsage, "larger than"},
		"text without end, apply":  {"config apply /dev/zero --from 1", exitFailed, "larger than"},
		"unreadable text in force": {"config check " + example + " --against none.yaml", exitUsage, "none.yaml"},
		"invalid text in force":    {"config check " + example + " --against main.go", exitUsage, "main.go:"},
		"unreadable text in apply": {"config apply none.yaml --from 1", exitFailed, "none.yaml"},
		"unreadable key":           {"status --key-file none.key", exitFailed, "none.key"},
		"unreadable settings":      {"serve none.yaml", exitFailed, "none.yaml"},
		"key of several lines":     {"status --key-file main.go", exitFailed, "more than one line"},
		"empty key file":           {"status --key-file /dev/null", exitFailed, "/dev/null is empty"},
		"no base URL":              {"status --key-file KEY --instance 127.0.0.1:1", exitFailed, "http://127.0.0.1:8101"},
		"unreachable":              {"status --key-file KEY --instance http://127.0.0.1:1", exitFailed, "cannot be reached"},
		"soak without directory":   {"soak", exitUsage, "DIR is required"},
		"soak without instances":   {"soak --dir x --instances 0", exitUsage, "must be positive"},
		"too many runs at once":    {"soak --dir x --parallel 99", exitUsage, "--parallel must be 1 to 24"},
		"too many processes":       {"soak --dir x --instances 500", exitUsage, "at most 200 instances"},
		"no program":               {"soak --dir KEY.d --program /none --seconds 0", exitFailed, "program to run"},
		"change not sent": {
			"keys rotate --change-id x --key-file KEY --instance http://127.0.0.1:1", exitFailed, "change x was not made",
		},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := runCommand(strings.Fields(strings.ReplaceAll(c.args, "KEY", key)), &stdout, &stderr)
			got := stderr.String()
			if code != c.code || !strings.Contains(got, c.want) || strings.Count(got, "\n") != 1 || stdout.Len() != 0 {
				t.Errorf("got exit code %d, %q and output %q, want %d and one line with %q",
					code, got, stdout.String(), c.code, c.want)
			}
		})
	}
}
