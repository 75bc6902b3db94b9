// Package experiment generates load, verifies every response and reports the results.
//
// The load is open-loop: Poisson arrivals with bursts are drawn from a seed before the
// run, and each request is sent at its intended time whether or not earlier requests
// have completed. Latencies are measured from the intended send time, so that a slow
// generator or a slow system cannot hide waiting time (coordinated omission).
//
// Each attempt carries a tag that the engine stand-in echoes in every event, and the
// text of each token is a function of the response identifier and the token index. A
// response that belongs to another request, or that mixes two generations, is therefore
// detected without storing the expected text. Executions of orders, and of requests that
// were answered with "not run", are compared with the counts of the stand-ins.
package experiment
