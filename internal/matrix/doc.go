// Package matrix measures the router's policy and the baseline policy side by side, at
// several loads and under several conditions, and reports by cell.
//
// A run first saturates the engines under the baseline policy and takes their token
// throughput as the capacity. Loads are multiples of it, in output tokens per second.
// Each cell runs in a fresh region. Requests of the warm-up are not counted; goodput,
// throughput and wasted work are those of the time from its end to the end of sending.
//
// A cell is invalid when the generator itself was late: then the process had too little
// processor time, and the latencies say nothing about the policy.
package matrix
