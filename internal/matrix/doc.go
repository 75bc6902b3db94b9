// Package matrix compares the router's standard policy with the baseline policy over a
// matrix of loads, conditions and seeds. Each combination is one cell of the report.
//
// A run first saturates the engines under the baseline policy and takes their token
// throughput as the capacity. Loads are multiples of the capacity, in output tokens per
// second. Each cell runs in a new region. Requests of the warm-up are not counted;
// goodput, throughput and wasted work are measured within the window, from the end of the
// warm-up to the end of sending.
//
// A cell is invalid if the load generator sent requests late: the process then had too
// little CPU time, and the latencies do not reflect the policy.
package matrix
