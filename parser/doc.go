// Package parser reads the operators' configuration text: services, models,
// versions, workspaces, sessions and data centres. The result is an immutable,
// checked fleet; every error names line and field.
package parser
