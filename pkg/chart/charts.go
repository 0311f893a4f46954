package chart

import _ "embed"

//go:embed backend.yaml
var backendFile []byte

//go:embed lease.yaml
var leaseFile []byte

// Backend is the chart of a backend server's marks.
var Backend = MustParse(backendFile)

// Lease is the chart of a lease at the router that holds it.
var Lease = MustParse(leaseFile)

// States of a backend server.
const (
	Joining  State = "joining"
	Serving  State = "serving"
	Leaving  State = "leaving"
	Stopping State = "stopping"
	Gone     State = "gone"
)

// States of a lease.
const (
	Granted  State = "granted"
	Running  State = "running"
	Returned State = "returned"
	Expired  State = "expired"
)

// Events of a lease.
const (
	Start  Event = "start"
	Return Event = "return"
	Expire Event = "expire"
	Recall Event = "recall"
	Finish Event = "finish"
	Reuse  Event = "reuse"
)

//go:embed table.yaml
var tableFile []byte

// Table is the chart of the table in force at a router.
var Table = MustParse(tableFile)

// States of the table at a router.
const (
	Asking  State = "asking"
	InForce State = "in-force"
)

// Events of the table at a router.
const (
	Settle Event = "settle"
	Newer  Event = "newer"
	Older  Event = "older"
	Bad    Event = "bad"
)
