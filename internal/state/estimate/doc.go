// Package estimate learns service times, output lengths and the service rate
// from the requests that run.
//
// All estimates decay: evidence halves every [HalfLife], and an estimate whose
// evidence has decayed below a quarter of one sample is unknown again. A wrong
// estimate may keep requests from running, and thereby itself from being
// corrected. Decay ends this state after at most 7 half-lives (the evidence is
// at most 32 samples, and 32 / 2^7 = 1/4).
//
// [Mean] is an exponentially weighted moving average, [Rate] an amount per
// second, and [Margin] a safety factor for predictions. [Sketch] keeps the
// quantiles of a recent window in an HDR histogram. [Capacity] is the service
// rate, in service seconds per second, which is the number of requests that run
// at once while requests wait. It needs no declared number of engines:
//
//   - with at least 8 completions of evidence it is the service time of the
//     requests that ended while others waited, divided by the time during which
//     requests waited;
//   - before that, it is the mean number of requests in flight while others waited;
//   - it is unknown until requests have waited for 50 ms in total.
//
// None of the types is safe for concurrent use.
package estimate
