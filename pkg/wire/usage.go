package wire

// Usage reports what the requests of accounts have used. Routers send it if the table serves
// accounts by weight.
type Usage struct {
	Scope Scope
	// Accounts lists the accounts with any usage.
	Accounts []AccountUsage
}

// AccountUsage is an account's usage of a service through the routers of a scope.
type AccountUsage struct {
	Service, Account NameHash
	// Served is the number of tokens that its requests have used since these routers started,
	// and Requests the number of requests sent. Served includes an estimate for running
	// requests, which is corrected when they end.
	Served, Requests int64
	// Running is the number of requests that were sent and have not ended, Waiting of those
	// that have no slot.
	Running, Waiting int
}
