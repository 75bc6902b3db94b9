// Package experiment generates load, verifies every response and reports the results.
//
// The load is open-loop: Poisson arrivals with bursts are drawn from a seed before the
// run, and each request is sent at its intended send time whether or not earlier requests
// have completed. Latencies are measured from the intended send time, so that a slow
// generator or a slow system cannot hide waiting time (coordinated omission).
//
// A chat request asks for a model response, as a stream or as JSON. An order is a
// non-idempotent request to a service. It is sent with a ticket; a resend carries the same
// ticket unless the system offers a new one.
//
// Each attempt of a chat request carries a tag that the engine stand-in echoes in every
// event, and the text of each token is a function of the response identifier and the token
// index. A response that belongs to another request, or that mixes two generations, is
// therefore detected without storing the expected text. An order carries one tag in its body
// for all attempts. Executions of orders, and of requests that were answered with "not run",
// are compared with the counts of the stand-ins.
package experiment
