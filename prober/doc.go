// Package prober reads the load reports and cache events of model engines at a
// bounded rate, without letting a slow endpoint delay the others.
package prober
