// Package demonstrator runs a whole fleet and emulators of its outside systems in
// one process, on loopback addresses. It takes the fleet through a fixed scenario
// under load from many workspaces: a good and a bad roll-out, a data centre taken
// out of service and returned, an outage of the object API with a crash of an
// instance, and a graceful shutdown. It checks the fleet's properties throughout,
// and reports cost, quality, latency and the violated properties at the end.
package demonstrator
