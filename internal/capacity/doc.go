// Package capacity derives the cost of each role at the target scale from slopes
// that were measured on one machine.
//
// The measurements run small stand-ins on loopback at several sizes and store the
// points in points.yaml. The report fits a line to each series by least squares,
// evaluates it at the target scale and prints the tables of docs/CAPACITY.md. The
// report depends on the stored points only, so that a test can compare the page with
// it without measuring anything.
//
// Processor time is the time of this process as the operating system counts it.
// Engines and callers run in a second process, so that their cost is not part of it.
package capacity
