// Package budget limits the work that the system adds on its own: retries and
// probes.
package budget
