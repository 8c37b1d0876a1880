// Package examples contains two complete configuration texts, which have the size of
// fleets that use the router.
package examples

import _ "embed" // for the go:embed directives

// Kyushu is the configuration text of the Kyushu fleet, in YAML.
//
//go:embed kyushu.yaml
var Kyushu string

// KeralaCentral is the configuration text of the Kerala central fleet, in YAML.
//
//go:embed kerala-central.yaml
var KeralaCentral string
