// Package surgedetector detects workspaces that send far more than usual, so
// that their excess can be queued behind the requests of others when capacity is
// short. It compares a short-term with a long-term average of each workspace's
// share of all work. Neither a workspace that is always large nor a burst of all
// workspaces counts as a surge.
package surgedetector
