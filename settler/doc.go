// Package settler decides from when on a process may take what the store shows for the
// present state. A store that has come back from an older copy begins a new era and shows
// the copy until the authors of its objects have written them again. A process that knew the
// objects before keeps its own knowledge; one that has just started cannot tell the copy from
// the present state.
package settler
