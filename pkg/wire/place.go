package wire

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// Key names a backend server or an account where routers tell each other of it
// often: a hash of the name, which is longer.
type Key uint32

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Ask asks the owner of a backend server for a place for one request.
type Ask struct {
	// ID is unique at the sender.
	ID      uint64
	Server  Key
	Account Key
	// AccountRank and Rank order what waits: lower goes first.
	AccountRank, Rank int
	// Prefix is a hash of the prompt's shared parts, 0 if it has none.
	Prefix uint64
	// Prompt and Shared are sizes in tokens.
	Prompt, Shared int64
	// TargetMillis is what is left of the time within which the first event
	// is worth most, WaitMillis how long the sender waits for a place.
	TargetMillis, WaitMillis int64
	// Fetch says that the shared parts are copied from another backend server if
	// they are not kept there, so that they need not be read again.
	Fetch bool
	// Spill says that the backend server is not the first for the prefix: a
	// place is given only if there is plenty, and nothing waits for one.
	Spill bool
	// Begun says that the request was sent to a backend server before and may
	// have run there: it is late in any case, and goes before all others.
	Begun bool
	// Alone says that backend servers ended under it: nothing new is to join it until it
	// begins to answer.
	Alone bool
}

// PlaceState is what an owner answers to an Ask.
type PlaceState uint8

// The answers to an Ask.
const (
	// PlaceGranted: the request may be sent now.
	PlaceGranted PlaceState = iota
	// PlaceQueued: the request waits; another answer may come.
	PlaceQueued
	// PlaceDenied: it does not wait.
	PlaceDenied
)

// Reply answers an Ask.
type Reply struct {
	ID     uint64
	Server Key
	State  PlaceState
	// Running and Unread are what is under way at the backend server.
	Running int
	Unread  int64
	// Fetch says that the shared parts are not kept there as far as is known, so
	// that they are to be copied. Only with PlaceGranted.
	Fetch bool
	// Own is the tokens of the request's prompt that are to be read there,
	// Ahead all that are to be read before its first event, and
	// ExpectedMillis when that is expected. Only with PlaceGranted.
	Own            int64
	Ahead          int64
	ExpectedMillis int64
}

// NoteKind is what a Note tells.
type NoteKind uint8

// The kinds of notes.
const (
	// NoteStarted: the sender sent the request without a place.
	NoteStarted NoteKind = iota
	// NoteFirst: its first event came.
	NoteFirst
	// NoteEnded: it ended, or its place was not used.
	NoteEnded
	// NoteCancel: the sender waits for a place no more.
	NoteCancel
)

// Note tells the owner of a backend server what became of a request.
type Note struct {
	ID     uint64
	Server Key
	Kind   NoteKind
	// Millis is the time to the first event, for NoteFirst.
	Millis int64
	// Unread is the tokens to be read, for NoteStarted.
	Unread int64
	// Result is how it ended, for NoteEnded.
	Result uint8
}

// Held is what a router has under way at one backend server: for each request
// its ID and the tokens that are still to be read.
type Held struct {
	Server Key
	IDs    []uint64
	Unread []int64
}

// Sync tells an owner all that the sender has under way at its backend
// servers. It replaces what was told before.
type Sync struct{ Held []Held }

// Leaving tells which backend servers leave by their own word, which the directory may not
// tell yet: the router that heard it tells their owner, and the owner whoever asks it for
// a place there.
type Leaving struct{ Servers []Key }

// AccountFlow is what an account asks and gets at a router, in tokens a
// second.
type AccountFlow struct {
	Account      Key
	Asked, Begun uint32
}

// Copy says that a prompt's beginning was read at a backend server, or copied to
// it, which did not keep it before.
type Copy struct {
	Prefix uint64
	Server Key
}

// Scope says whose flows a State tells.
type Scope uint8

// The scopes of a State.
const (
	// ScopeOwn: the sender's own.
	ScopeOwn Scope = iota
	// ScopeZone: all of the sender's zone.
	ScopeZone
	// ScopeRest: all of the fleet but the receiver's.
	ScopeRest
	// ScopeNone: none; another one tells them.
	ScopeNone
)

// State is what routers tell each other at short intervals.
type State struct {
	// Stamp is the sender's clock when it sent this.
	Stamp Stamp
	// Echo is the last Stamp that the sender received from the receiver, 0 if
	// none.
	Echo Stamp
	// Held is how many milliseconds ago the sender received that: on the receiver's
	// clock, this was sent at Echo plus Held at the earliest.
	Held int64
	// Epoch and AsOf are the platform's revision up to which the sender knows all.
	Epoch, AsOf uint64
	// Age is how long ago, in milliseconds, the sender knew that the platform
	// had nothing newer than AsOf; -1 if it never did.
	Age int64
	// Leaving says that the sender is about to stop.
	Leaving bool
	// Roster is the digest of the roster that a relay stands by, 0 of others.
	Roster uint64
	Scope  Scope
	// Accounts lists the flows that are not zero, the largest only where they
	// are many; that of account 0 is the sum of the rest.
	Accounts []AccountFlow
	// Copies are those made since the last State.
	Copies []Copy
}

// RosterEntry is a router as another one knows it.
type RosterEntry struct {
	// Address is where it listens for peers.
	Address string
	// Name and Zone are as in its settings.
	Name string
	Zone string
	// Inc is its start.
	Inc uint64
	// Capacity is its share of processors, 0 if it is not stated.
	Capacity float32
	// Heard is how many milliseconds ago it was last heard of.
	Heard int64
	// Lives says that the sender believes that it lives, Hears that it hears
	// it itself, Leaving that it is about to stop.
	Lives, Hears, Leaving bool
}

// Roster lists the routers that the sender knows.
type Roster struct {
	Entries []RosterEntry
	// Digest is the sender's own of whom it believes to live.
	Digest uint64
	// Base is the Digest of the Roster before, of which Entries are only the
	// changes; 0 if they are all.
	Base uint64
	// Answer asks the receiver for its roster.
	Answer bool
}

// NewsAsk asks for what the platform published after a revision: for everything if After is
// 0, or if the platform is in another epoch by now.
type NewsAsk struct{ Epoch, After uint64 }

// News is what the platform published.
type News struct{ catalog.Update }
