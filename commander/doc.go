// Package commander drives package placer for one data centre on one instance: it
// holds the lease of the data centre's record, keeps the desired placement in
// step with the wanted versions, reads the endpoints back and sends them the
// commands.
//
// # Who commands
//
// The instances for which Options.Compete holds try to take the lease. Only the
// holder reads endpoints and sends commands, and it checks the lease again
// before each command. A leaving instance releases the lease.
//
// # Store outage
//
// A change of the placement counts only once it is stored, so nothing new is
// decided while the store is down. The holder goes on with the stored placement
// until its lease ends; then no commands are sent, and the endpoints keep what
// they hold.
//
// # Unloading
//
// A version that the wanted ones no longer contain is unloaded at an endpoint
// once its last work there has ended: after Options.Settle, in which all
// instances learn of the withdrawal, when the endpoint reports no work, or when
// the longest request that may have started has ended. A copy that moves to
// another endpoint still gets work, so it is unloaded only while its endpoint
// reports no work.
package commander
