// Package reserver bounds the memory that a process holds for data whose length its
// sender decides, summed over all senders. A bound for each of them does not suffice: many
// may reach it at the same time.
package reserver
