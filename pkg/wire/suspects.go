package wire

// SuspectUpdate lists requests that ran on a backend server when it crashed, and what has become
// of them, and of parts of their prompts, since.
type SuspectUpdate struct {
	Crashes []SuspectCrash
	// Completed lists requests that have completed since, and parts of such. Their crashes no longer count.
	Completed []uint64
	// Retrying, Responding and Ended are about requests with crashes whose next attempt is at
	// the sender: Retrying lists those whose attempt has started, Responding those whose
	// attempt has begun to respond, and Ended those whose attempt has ended.
	Retrying, Responding, Ended []uint64
}

// SuspectCrash is the crash of a backend server that was running a request.
type SuspectCrash struct {
	// Digest identifies the request. It is the same for all attempts.
	Digest uint64
	Server NameHash
	// AgoMillis is the time since the crash. SentBeforeMillis is the time from sending the
	// attempt to the crash.
	AgoMillis, SentBeforeMillis int64
	// Unanswered reports that the attempt had not begun to respond.
	Unanswered bool
	// Extra is the number of crashes that the request is allowed beyond the usual limit,
	// because it had completed before.
	Extra int
}

// PartCrashes lists crashes of backend servers under requests with a part of a prompt, which Digest identifies in
// each. Completions and trials of parts are in SuspectUpdate.
type PartCrashes struct {
	Crashes []SuspectCrash
}
