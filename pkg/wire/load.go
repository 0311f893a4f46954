package wire

// SlotContext carries what a SlotRequest does not: it precedes the SlotRequest with the same ID and
// Server on the same connection. Routers that do not know the type skip it.
type SlotContext struct {
	ID     uint64
	Server NameHash
	// Key identifies the request across the attempts of its caller, 0 if unknown.
	Key uint64
	// OutputTokens is the largest number of tokens that the request generates, 0 if unknown.
	OutputTokens int64
	// DeadlineMillis is the time left until the request's deadline, ElapsedMillis the time since it
	// arrived at the sender.
	DeadlineMillis, ElapsedMillis int64
}

// SlotMargin precedes a SlotReply that grants a slot. It states how much later than expected the first event
// may arrive.
type SlotMargin struct {
	ID     uint64
	Server NameHash
	// MarginMillis is what about four of five first events keep to, beyond ExpectedMillis of the SlotReply.
	MarginMillis int64
}

// EngineState is what the owner of a backend server has learned about its performance.
type EngineState struct {
	Server NameHash
	// Speed is the number of prompt tokens that it reads in 10 microseconds, Deviation the relative error
	// of recent predictions. Speed is not relative to the average server of its service, which differs
	// between routers.
	Speed, Deviation float32
	// Samples is the number of observations behind it.
	Samples uint32
	// AgeMillis is the time since the last observation.
	AgeMillis int64
}

// EngineStates tells the router that would own some backend servers next what their owner learned.
type EngineStates struct{ Engines []EngineState }

// CapacityReport sums up what the engines of a scope can do, as known to their owners. It precedes the
// RouterState with the same scope.
type CapacityReport struct {
	Scope Scope
	// Total is the number of prompt tokens per second that the engines can process, Free the part
	// of it that is unused.
	Total, Free uint32
	// Owners is the number of routers whose engines are included.
	Owners uint32
	// AgeMillis is the age of the oldest part.
	AgeMillis int64
}

// ReturnOffer precedes a SlotReply that queues or denies a request. It is the owner's estimate of when a
// slot is available.
type ReturnOffer struct {
	ID     uint64
	Server NameHash
	// RetryMillis is the time until then, -1 if that is not before the request's deadline.
	RetryMillis int64
}

// Promise is a refused request that was told when to return.
type Promise struct {
	Server  NameHash
	Key     uint64
	Account NameHash
	// Tokens is the cost of the request.
	Tokens int64
	// ElapsedMillis is the time since the caller's first attempt arrived, DueMillis the time until the
	// caller should return, DeadlineMillis the time until the request's deadline.
	ElapsedMillis, DueMillis, DeadlineMillis int64
}

// ReturnPromise tells the owner of the preferred backend servers of refused requests when their callers
// were told to return.
type ReturnPromise struct{ Promises []Promise }

// ServerSpeed is the speed class of a backend server: its speed relative to the reference of the engine
// model is about the square root of 2 to the power of Class.
type ServerSpeed struct {
	Server NameHash
	Class  int8
}

// ServerSpeeds lists speed classes that changed, and some of those that did not.
type ServerSpeeds struct{ Speeds []ServerSpeed }

// StreamPause is the longest pause between two events of a response.
type StreamPause struct {
	ID     uint64
	Server NameHash
	// TargetMillis is the longest pause that the request's route desires.
	PauseMillis, TargetMillis int64
	// Ended says that the response is complete.
	Ended bool
}

// StreamPauses tells the owner of backend servers which responses exceed the pauses of their routes, and
// which ended without.
type StreamPauses struct{ Pauses []StreamPause }
