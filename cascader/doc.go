// Package cascader decides which model answers on routes with several model
// sizes. The smallest model answers first. Its answer is kept if the model
// states enough confidence or none; otherwise a larger model answers, as far as
// time, load and capacity allow. The required confidence falls as the load rises.
package cascader
