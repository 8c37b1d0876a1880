// Package reconciler is the control loop of the placement of model versions in one
// data centre. On one instance it takes the lease of the data centre's record,
// keeps the desired placement consistent with the required versions, reads the state
// of the endpoints back, and sends them the load and unload commands that package
// placer computes. All times are in milliseconds.
//
// # Which instance sends commands
//
// The instances for which Options.MayTakeLease returns true try to take the lease.
// Only the holder reads endpoints and sends commands, and it checks the lease again
// before each command. An instance that leaves releases the lease.
//
// # Store outage
//
// A change of the placement takes effect only once it is stored, so the placement
// does not change while the store is down. The holder continues with the stored
// placement until its lease ends; then no commands are sent, and the endpoints keep
// their versions.
//
// # Unloading
//
// A version that is no longer required is unloaded at an endpoint once its last
// request there has ended. That is the case when the endpoint reports no requests
// after Options.PropagationTime, by which time all instances know of the withdrawal,
// or when the longest request that may have started until then has ended. A copy that
// moves to another endpoint still gets requests, so it is unloaded only while its
// endpoint reports none.
package reconciler
