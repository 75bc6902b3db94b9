// Package configsync decides which configuration revision an instance has in force
// and how revisions spread: a deterministic state machine. The driver passes time,
// members, peers' messages and the platform's answers in and performs the actions
// that come out.
package configsync
