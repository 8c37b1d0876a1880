// Package parser parses and validates the operators' configuration text, a YAML
// document with the services, models, versions, workspaces, sessions and data
// centres of a fleet. The result is an immutable Fleet. Every error names the
// file, line and field.
package parser
