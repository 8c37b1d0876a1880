// Package examples holds two complete configuration texts at the sizes of the
// fleets that use the router today.
package examples

import _ "embed" // for the texts

// Kyushu is the configuration of the Kyushu fleet.
//
//go:embed kyushu.yaml
var Kyushu string

// KeralaCentral is the configuration of the Kerala central fleet.
//
//go:embed kerala-central.yaml
var KeralaCentral string
