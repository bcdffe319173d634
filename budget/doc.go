// Package budget holds the limits on work that the system adds by itself:
// retries and measurements.
package budget
