// Package hoster runs emulators of the systems outside the router as HTTP servers
// on loopback addresses: the object store, the platform's services, model engines
// and a plain service. It also generates the settings of instances that use them.
// Tests, the demonstration and the subcommand "standins" use it.
package hoster
