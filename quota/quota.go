// Package quota keeps the running tasks of a client account within its limit, although its jobs run on the workers of several
// services with different owners. Each owner holds a leased share of the limit, from which it starts tasks without a call;
// one controller divides the limit by what the services use and want. It is made for demand that rotates among the services, each
// of which asks at its peak for more than the whole limit, and for owners that die, are cut off or are replaced with a share.
package quota

import (
	"time"

	"cuminstair.org/cuminstair"
)

// Time limits of shares.
const (
	// GrantTTL is how long an owner starts tasks from a grant. It outlasts a change of the controller.
	GrantTTL = 6 * time.Second
	// maxClockSlowdown is the greatest fraction by which an owner's clock may run slower than the controller's.
	maxClockSlowdown = 0.02
	// controllerGrace is how long an earlier controller may still send grants.
	controllerGrace = 6 * time.Second
	// unheardTime is how long after the start of a controller a grant of an earlier one may be valid. Until then, no share is raised
	// unless the owners of all services have answered.
	unheardTime = controllerGrace + GrantTTL + time.Duration(maxClockSlowdown*float64(GrantTTL))
	// absentTime is how long a service has to be without an owner for its share to be free: its last owner gives no orders after
	// 6 s without the store, and the leases of its tasks run out 4 s later.
	absentTime = 12 * time.Second
	// maxPause is the longest time between two rounds after which a service that had no owner before and after
	// counts as without an owner in between.
	maxPause = 2 * time.Second
	// quietTime is how long an account without work keeps its shares, so that messages list only accounts with work.
	quietTime = time.Minute
)

// Amount is an amount of each resource: thousandths of a core, MB, accelerators. In a limit, 0 means that there is none.
type Amount [3]int

// AmountOf returns resources as an Amount.
func AmountOf(r cuminstair.Resources) Amount { return Amount{r.CPU, r.Memory, r.Accel} }

// Plus returns a + n times b.
func (a Amount) Plus(b Amount, n int) Amount {
	for i := range a {
		a[i] += n * b[i]
	}
	return a
}

// Max returns the larger amount of each resource.
func (a Amount) Max(b Amount) Amount {
	for i := range a {
		a[i] = max(a[i], b[i])
	}
	return a
}

// Min returns the smaller amount of each resource.
func (a Amount) Min(b Amount) Amount {
	for i := range a {
		a[i] = min(a[i], b[i])
	}
	return a
}

// IsZero reports whether there is nothing of any resource.
func (a Amount) IsZero() bool { return a == Amount{} }

// Part returns the largest fraction of a limit that the amount takes, over the resources that are limited.
func (a Amount) Part(limit Amount) float64 {
	part := 0.0
	for i := range a {
		if limit[i] > 0 {
			part = max(part, float64(a[i])/float64(limit[i]))
		}
	}
	return part
}

// Grant is what the controller sends to the owner of a service.
type Grant struct {
	Token  uint64               `json:"token"`           // of the controller
	Seq    uint64               `json:"seq,omitempty"`   // number of the grant; 0: only announces the controller
	Owner  uint64               `json:"owner,omitempty"` // token of the owner to which Allowance.Earlier applies; 0: none
	Shares map[string]Allowance `json:"shares,omitempty"`
}

// Allowance is the share of a service in the limit of an account.
type Allowance struct {
	Share Amount `json:"s"`
	Limit Amount `json:"l"` // of which it is a share
	// Earlier is the most that the owners before this one may have running, until it has settled their runs; nil: not known.
	Earlier *Amount `json:"e,omitempty"`
	Reach   Amount  `json:"r"` // largest share that the service can expect with the present demand of the others
}

// Report is the answer of an owner.
type Report struct {
	Token      uint64         `json:"token"`               // of the owner
	Controller uint64         `json:"controller"`          // highest token of a controller that the owner has seen
	Seq        uint64         `json:"seq,omitempty"`       // of the last grant that it has accepted of this controller; 0: none
	Unsettled  bool           `json:"unsettled,omitempty"` // earlier owners may have runs that it does not know
	Accounts   map[string]Use `json:"accounts,omitempty"`
}

// Use is what a service has and could use of the limit of an account.
type Use struct {
	Limit  Amount `json:"l"` // as the owner knows it
	Held   Amount `json:"h"` // share granted
	Of     Amount `json:"o"` // limit of which Held is a share; zero: no grant, or an owner of an earlier version
	Used   Amount `json:"u"` // by runs that the owner knows
	Unsure Amount `json:"m"` // by runs that an earlier owner may have started
	Wanted Amount `json:"w"` // by the runs and the tasks that wait
	Unit   Amount `json:"t"` // of the largest waiting task
}
