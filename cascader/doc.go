// Package cascader decides on routes with several model sizes which model
// answers: a small one first, whose answer is kept if the model is confident
// of it, otherwise a larger one while time, load and cost allow it.
package cascader
