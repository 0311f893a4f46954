package wire

// Uses tells what the requests of accounts have used, where the table weighs accounts.
type Uses struct {
	Scope Scope
	// Accounts are those with any use.
	Accounts []AccountUse
}

// AccountUse is an account's use of a service by the routers of a scope.
type AccountUse struct {
	Service, Account Key
	// Served is what its requests used since these routers started, in tokens, and Requests
	// how many were sent; an estimate of those that run is in it and is set right later.
	Served, Requests int64
	// Running are sent and have not ended, Waiting have no place.
	Running, Waiting int
}
