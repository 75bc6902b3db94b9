// Package capacity extrapolates the resource use of each role to the target scale from
// measurements on a single machine.
//
// The measurements run on loopback at several sizes, with stand-ins for the platform and
// the engines, and store their results in points.yaml. The report fits a line to each
// series by least squares, evaluates it at the target scale and prints the tables of
// docs/CAPACITY.md. It depends only on the stored points, so that a test can compare the
// page with the report without running any measurement.
//
// CPU time is the user and system time of this process as accounted by the operating
// system. Engines and callers run in a child process to keep their CPU time out of the
// figures.
package capacity
