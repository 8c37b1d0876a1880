// Package forecaster predicts the prefill time of prompts. It addresses prompts
// of tens of thousands of tokens: attention makes their prefill time grow with
// the square of their length, so an estimate in ms per token that is right for
// usual prompts is far too low for them.
//
// Both terms follow a quantile of the samples by bounded steps (Robbins, Monro: A
// stochastic approximation method, Annals of Mathematical Statistics 22, 1951),
// so that single outliers have a bounded effect. Times are in ms.
package forecaster
