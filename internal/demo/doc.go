// Package demo runs a region under load in one process, injects faults and reports
// whether the guarantees were kept.
package demo
