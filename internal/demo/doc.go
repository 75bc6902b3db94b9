// Package demo runs a region with its load and its faults in one process and reports
// whether the promises held.
package demo
