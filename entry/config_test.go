package entry

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/platform"
)

func configRecord(value string) cuminstair.Record {
	return cuminstair.Record{
		RecordKey: cuminstair.RecordKey{Table: platform.OperatorTable, Key: platform.ConfigKey}, Value: []byte(value),
	}
}

// Guards against a configuration that is replaced by an earlier version or by one that can't be decoded.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	d := &Daemon{Log: hclog.NewNullLogger()}
	d.applyOperatorRecord(configRecord(`{"version":5,"routes":[]}`))
	is.Equal(d.config.Load().Version, int64(5))
	for _, bad := range []string{`{"version":3,"routes":[]}`, `{"version":5,"routes":[{"name":"x"}]}`, `{`, `{"version":"7"}`, `{"routes":[]}`} {
		d.applyOperatorRecord(configRecord(bad))
		is.Equal(d.config.Load().Version, int64(5))
		is.Equal(len(d.config.Load().Queues), 0)
	}
	deleted := configRecord("")
	deleted.Deleted = true
	d.applyOperatorRecord(deleted)
	is.Equal(d.config.Load().Version, int64(5))
	d.applyOperatorRecord(configRecord(`{"version":12,"routes":[]}`))
	is.Equal(d.config.Load().Version, int64(12))
}

// Guards against calls that are assigned to the wrong queue: the host and the longest prefix of the path decide.
func TestFindQueue(t *testing.T) {
	is := is.New(t)
	c := &cuminstair.JobConfig{Queues: []cuminstair.WorkQueue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}
	for _, call := range []struct{ host, path, queue, idPart string }{
		{"a.example", "/x/1", "short", "1"},
		{"a.example:80", "/x/y/1", "long", "1"},
		{"b.example", "/x/y/1", "other", "y/1"},
		{"a.example", "/z/1", "", ""},
		{"c.example", "/x/1", "", ""},
	} {
		q, idPart, ok := findQueue(c, call.host, call.path)
		is.Equal(ok, call.queue != "")
		is.Equal(q.Name, call.queue)
		is.Equal(idPart, call.idPart)
	}
}
