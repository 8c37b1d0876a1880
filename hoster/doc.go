// Package hoster serves the emulators of the outside systems on loopback
// addresses: the object API, the platform's services, model engines and a plain
// service. It also composes the settings of instances that use them.
package hoster
