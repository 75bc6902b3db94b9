// Package experiment generates load, checks every answer and reports.
//
// Arrivals are open-loop: a plan of Poisson arrivals with bursts is drawn from a
// seed before the run, and each request is sent at its intended time whether or not
// earlier ones have been answered. Latencies count from the intended time, so that
// a slow generator or a slow system cannot hide waiting time.
//
// Each attempt carries a tag that the engine stand-in repeats in every event, and
// the text of each token is a function of the answer's identifier and the token's
// index. An answer that belongs to another request, or mixes two generations, is
// therefore found without a copy of what was sent. Executions of orders, and of
// requests that were answered with "not run", are compared with what the stand-ins
// counted.
package experiment
