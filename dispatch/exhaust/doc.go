// Package exhaust checks package dispatch against every order of events in a small world, up to a number of events. The
// world has two workers, one job of one step, an owner and optionally a successor of that owner, in virtual time. It knows
// which runs are alive, and drives a dispatch.Service only through its exported methods.
//
// An event is a choice: a call to a worker is carried out with or without an answer, later, or not at all; a worker
// crashes or restarts; a list is read early and delivered late; an owner is frozen or replaced; time passes. Calls that
// no event concerns are carried out and answered while time passes. After the last event of each order all faults end, and
// every task has to run in time.
package exhaust
