// Package demonstrator runs a whole fleet with its stand-ins in one process. It
// plays an evening: load from many workspaces, a good and a bad roll-out, a data
// centre taken out and brought back, an outage of the object API with a crashed
// instance, and a graceful shutdown. It watches the fleet's properties all the
// time and reports the four measures at the end.
package demonstrator
