package unwrapper

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a list that cannot be read as a whole because of one member, and
// against members that are cut in the wrong place.
func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	tests := map[string]struct {
		text string
		want []string // nil: ErrSyntax
	}{
		"empty":              {" [ ] ", []string{}},
		"null":               {"null", []string{}},
		"numbers":            {"[1, 2.5e3 ,-3]", []string{"1", "2.5e3", "-3"}},
		"nested":             {`[{"a":[1,2]},[3,[4]],"x"]`, []string{`{"a":[1,2]}`, `[3,[4]]`, `"x"`}},
		"brackets in text":   {`["a]\"[,{",2]`, []string{`"a]\"[,{"`, "2"}},
		"escaped backslash":  {`["a\\",2]`, []string{`"a\\"`, "2"}},
		"very deep":          {"[1," + deep + ",2]", []string{"1", deep, "2"}},
		"unreadable bytes":   {"[1,{\"a\":\"\xff\x00\"},2]", []string{"1", "{\"a\":\"\xff\x00\"}", "2"}},
		"not JSON":           {"[1,{a b},2]", []string{"1", "{a b}", "2"}},
		"no array":           {`{"a":1}`, nil},
		"cut off":            {`[1,2`, nil},
		"string without end": {`[1,"a]`, nil},
		"open bracket":       {`[1,[2]`, nil},
		"closed too often":   {`[1]]`, nil},
		"nothing":            {"", nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Elements([]byte(tt.text))
			if tt.want == nil {
				if !errors.Is(err, ErrSyntax) {
					t.Fatalf("got error %v, want ErrSyntax", err)
				}
				return
			}
			texts := make([]string, 0, len(got))
			for _, e := range got {
				texts = append(texts, string(e))
			}
			if err != nil || !slices.Equal(texts, tt.want) {
				t.Errorf("got %.100q, %v, want %.100q", texts, err, tt.want)
			}
		})
	}
}

// Guards against members under a wrong name.
func TestFields(t *testing.T) {
	tests := map[string]struct {
		text string
		want map[string]string // nil: ErrSyntax
	}{
		"empty":          {"{}", map[string]string{}},
		"members":        {` { "a" : 1 , "b":{"c":[2,3]} } `, map[string]string{"a": "1", "b": `{"c":[2,3]}`}},
		"escaped name":   {`{"a\u0062":1}`, map[string]string{"ab": "1"}},
		"colon in name":  {`{"a:b":1}`, map[string]string{"a:b": "1"}},
		"same name":      {`{"a":1,"a":2}`, map[string]string{"a": "2"}},
		"no name":        {`{1:2}`, nil},
		"no value":       {`{"a"}`, nil},
		"trailing comma": {`{"a":1,}`, nil},
		"array":          {`[1]`, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := Fields([]byte(tt.text))
			if tt.want == nil {
				if !errors.Is(err, ErrSyntax) {
					t.Fatalf("got error %v, want ErrSyntax", err)
				}
				return
			}
			if err != nil || len(got) != len(tt.want) {
				t.Fatalf("got %q, %v, want %q", got, err, tt.want)
			}
			for name, want := range tt.want {
				if string(got[name]) != want {
					t.Errorf("%s: got %q, want %q", name, got[name], want)
				}
			}
		})
	}
}

// Guards against a difference to the decoder of the standard library for texts that it
// reads.
func FuzzUnwrap(f *testing.F) {
	for _, text := range []string{`{}`, `[]`, `{"a":[1,{"b":"\\\""}],"c":null}`, `["]",{"}":1}]`, ` [1 , 2] `} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		fields, fieldsErr := Fields(text)
		elements, elementsErr := Elements(text)
		var object map[string]json.RawMessage
		if json.Unmarshal(text, &object) == nil && object != nil {
			if fieldsErr != nil || len(fields) != len(object) {
				t.Fatalf("got %q, %v, want %q", fields, fieldsErr, object)
			}
			for name, want := range object {
				if string(fields[name]) != string(want) {
					t.Errorf("%q: got %q, want %q", name, fields[name], want)
				}
			}
		}
		var array []json.RawMessage
		if json.Unmarshal(text, &array) == nil && array != nil {
			if elementsErr != nil || len(elements) != len(array) {
				t.Fatalf("got %q, %v, want %q", elements, elementsErr, array)
			}
			for i, want := range array {
				if string(elements[i]) != string(want) {
					t.Errorf("%d: got %q, want %q", i, elements[i], want)
				}
			}
		}
	})
}
