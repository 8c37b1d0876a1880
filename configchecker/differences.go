package configchecker

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"rosemaryarch.example/rosemaryarch/parser"
)

// Changes of an entry.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// maxValueRunes is the largest length of a shown value.
const maxValueRunes = 200

// Difference is one difference from the fleet in force. Entries of lists are
// identified by name, for example "workspaces[one].quality". A list that has only
// another order is changed.
type Difference struct {
	Change string `json:"change"`
	Path   string `json:"path"`
	Old    string `json:"old,omitempty"` // without key hashes in full
	New    string `json:"new,omitempty"`
}

// differences returns the differences of the effective values: a default that is
// written out is none.
// The second result counts those beyond maxListed.
func differences(before, after *parser.Fleet) ([]Difference, int) {
	d := differ{found: []Difference{}}
	d.compareFields("", reflect.ValueOf(*before), reflect.ValueOf(*after))
	return d.found, d.omitted
}

type differ struct {
	found   []Difference
	omitted int
}

func (d *differ) add(change, path string, before, after reflect.Value) {
	if len(d.found) == maxListed {
		d.omitted++
		return
	}
	x := Difference{Change: change, Path: withoutHashes(path)}
	if before.IsValid() {
		x.Old = shown(before)
	}
	if after.IsValid() {
		x.New = shown(after)
	}
	d.found = append(d.found, x)
}

// compareFields compares the fields of two structs that the text can set.
func (d *differ) compareFields(path string, before, after reflect.Value) {
	for i := range before.NumField() {
		name, ok := fieldName(before.Type().Field(i))
		if !ok {
			continue
		}
		if path != "" {
			name = path + "." + name
		}
		b, a := before.Field(i), after.Field(i)
		switch b.Kind() {
		case reflect.Struct:
			d.compareFields(name, b, a)
		case reflect.Slice:
			d.compareLists(name, b, a)
		default:
			if b.Interface() != a.Interface() {
				d.add(Changed, name, b, a)
			}
		}
	}
}

// fieldName returns the name of a field in the text.
func fieldName(f reflect.StructField) (string, bool) {
	name := f.Tag.Get("yaml")
	return name, f.IsExported() && name != "" && name != "-"
}

// compareLists compares two lists of structs with names or of strings.
func (d *differ) compareLists(path string, before, after reflect.Value) {
	old, oldNames := byName(before)
	now, newNames := byName(after)
	for _, n := range oldNames {
		a, ok := now[n]
		switch item := path + "[" + cut(n) + "]"; {
		case !ok:
			d.add(Removed, item, old[n], reflect.Value{})
		case a.Kind() == reflect.Struct:
			d.compareFields(item, old[n], a)
		}
	}
	for _, n := range newNames {
		if _, ok := old[n]; !ok {
			d.add(Added, path+"["+cut(n)+"]", reflect.Value{}, now[n])
		}
	}
	common := func(names []string) []string {
		return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !old[n].IsValid() || !now[n].IsValid() })
	}
	if b, a := common(oldNames), common(newNames); !slices.Equal(b, a) {
		d.add(Changed, path, reflect.ValueOf(b), reflect.ValueOf(a))
	}
}

// byName returns the items of a list by name, and the names in order.
func byName(list reflect.Value) (map[string]reflect.Value, []string) {
	items, names := map[string]reflect.Value{}, []string{}
	for i := range list.Len() {
		item := list.Index(i)
		name := item
		if item.Kind() == reflect.Struct {
			name = item.FieldByName("Name")
		}
		if _, ok := items[name.String()]; !ok {
			names = append(names, name.String())
		}
		items[name.String()] = item
	}
	return items, names
}

// shown returns a value as text in the form of the configuration, without key
// hashes in full and cut to maxValueRunes.
func shown(v reflect.Value) string { return cut(withoutHashes(flow(v))) }

func cut(text string) string {
	if r := []rune(text); len(r) > maxValueRunes {
		return string(r[:maxValueRunes]) + "..."
	}
	return text
}

func flow(v reflect.Value) string {
	var items []string
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if name, ok := fieldName(v.Type().Field(i)); ok && !v.Field(i).IsZero() {
				items = append(items, name+": "+flow(v.Field(i)))
			}
		}
		return "{" + strings.Join(items, ", ") + "}"
	case reflect.Slice:
		for i := range v.Len() {
			items = append(items, flow(v.Index(i)))
		}
		return "[" + strings.Join(items, ", ") + "]"
	case reflect.String:
		if v.Len() == 0 {
			return `""`
		}
	}
	return fmt.Sprint(v.Interface())
}
