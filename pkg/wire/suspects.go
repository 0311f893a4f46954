package wire

// Suspects tells which requests were under way at backend servers when these ended.
type Suspects struct {
	Ends []SuspectEnd
	// Ran are requests that have run to their end since: their ends are taken back.
	Ran []uint64
	// Begun are requests under which servers ended and of which the sender has begun
	// another try, Answers those whose try has begun to answer, Over those whose try has
	// ended.
	Begun, Answers, Over []uint64
}

// SuspectEnd is a request that was under way at a backend server when that ended.
type SuspectEnd struct {
	// Digest identifies the request, whichever try it is.
	Digest uint64
	Server Key
	// AgoMillis is how long ago the backend server ended, SentMillis how long before that
	// the try had been sent.
	AgoMillis, SentMillis int64
	// Unanswered says that the try had not begun to answer.
	Unanswered bool
	// More is how many more ends the request may have than one that never ran, since it ran
	// to its end before them.
	More int
}
