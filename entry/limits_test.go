package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/quota"
)

// limitedConfig is a configuration with an account whose tasks may use 100 cores.
func limitedConfig() *cuminstair.JobConfig {
	return &cuminstair.JobConfig{
		Queues:   []cuminstair.WorkQueue{{Name: "q", Service: "s"}},
		Pools:    []cuminstair.WorkPool{{Name: "s"}, {Name: "spare", Spare: true}},
		Accounts: []cuminstair.ClientAccount{{Name: "acme", Limit: cuminstair.Resources{CPU: 100_000}}},
	}
}

// knowOwner enters the owner of a part into the view of a daemon, as read now.
func knowOwner(t *testing.T, d *Daemon, part, name, addr string, version uint64) {
	is := is.New(t)
	node, err := json.Marshal(ownership.Node{Run: "run " + name, Addr: addr, Ready: true})
	is.NoErr(err)
	owner, err := json.Marshal(ownership.Owner{Name: name, Run: "run " + name, Addr: addr})
	is.NoErr(err)
	now := d.Timer.Now()
	d.readAt.Store(&now)
	d.view.Apply(now, []cuminstair.Record{
		{RecordKey: cuminstair.RecordKey{Table: ownership.Table, Part: ownership.NodePart, Key: name}, Value: node, Version: version},
		{RecordKey: cuminstair.RecordKey{Table: ownership.Table, Part: part, Key: ownership.OwnerKey}, Value: owner, Version: version},
	})
}

// newLimitController returns a controller of limits with a token, on a daemon that knows the owner of the service s.
func newLimitController(t *testing.T, token uint64, addr string) (*limitController, *runner) {
	d := newForwarder(t)
	d.runID = "run controller"
	d.config.Store(limitedConfig())
	r := newRunner(d, ownership.HostsPart, token, ownership.Owner{}, false)
	knowOwner(t, d, "s", "d1", addr, 7)
	return &limitController{d: d}, r
}

// limitedOwner returns a daemon that owns the service s and knows the controller.
func limitedOwner(t *testing.T, controller uint64) (*Daemon, *runner, *lossyServer) {
	d, r := ownerDaemon(t)
	d.config.Store(limitedConfig())
	pass(d, time.Second)
	knowOwner(t, d, ownership.HostsPart, "controller", "", controller)
	return d, r, newLossyServer(t, d)
}

// report asks an owner for its report without a grant.
func (d *Daemon) report(t *testing.T, r *runner) quota.Report {
	a := demandLocal(t.Context(), r, demandRequest{Service: "s", Grant: &quota.Grant{}, sentAt: d.Timer.Now()})
	is.New(t).True(a.Limits != nil)
	return *a.Limits
}

// Guards against a new owner, or a new controller, that leaves a service without its share until a later round.
func TestOwnerHasItsShareAfterOneRound(t *testing.T) {
	is := is.New(t)
	owner, r, server := limitedOwner(t, 20)
	for token := uint64(20); token < 22; token++ {
		c, hosts := newLimitController(t, token, server.addr())
		c.step(t.Context(), hosts, c.d.config.Load())
		report := owner.report(t, r)
		is.Equal(report.Controller, token)
		is.Equal(report.Accounts["acme"].Held[0], 100_000)
	}
}

// Guards against grants that an owner takes over late, or of a controller that was replaced before the owner took over, or before it
// knows who the controller is.
func TestGrantsThatAnOwnerIgnores(t *testing.T) {
	is := is.New(t)
	owner, r, server := limitedOwner(t, 20)
	former, hosts := newLimitController(t, 19, server.addr())
	former.d.runID = "run former"
	former.step(t.Context(), hosts, former.d.config.Load())
	is.Equal(owner.report(t, r).Controller, uint64(0))

	c, hosts := newLimitController(t, 20, server.addr())
	early := owner.readAt.Swap(nil)
	c.step(t.Context(), hosts, c.d.config.Load())
	is.Equal(owner.report(t, r).Controller, uint64(0))
	owner.readAt.Store(early)

	c.step(t.Context(), hosts, c.d.config.Load())
	is.Equal(owner.report(t, r).Controller, uint64(20))
	seq := owner.report(t, r).Seq
	late := demandRequest{
		Service: "s", Run: c.d.runID, Stamp: c.d.requestStamp("s"),
		Grant: &quota.Grant{Token: 20, Seq: seq + 1, Shares: map[string]quota.Allowance{"acme": {Share: quota.Amount{100_000}, Limit: quota.Amount{100_000}}}},
	}
	pass(owner, requestMaxAge)
	is.True(demandLocal(t.Context(), r, late).Late)
	is.Equal(owner.report(t, r).Seq, seq)
}

// Guards against a deployment without control of hosts in which nobody divides limits, and against the duty where there is no limit.
func TestSomeDaemonDividesLimitsWithoutHosts(t *testing.T) {
	is := is.New(t)
	d, _ := peerDaemon()
	config := limitedConfig()
	d.config.Store(config)
	is.Equal(d.services(), []string{"s", ownership.HostsPart})
	config.Accounts[0].Limit = cuminstair.Resources{}
	is.Equal(d.services(), []string{"s"})
}
