package fleet_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
)

// TestMain fixes the seed of rapid, so that every run tests the same inputs.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func example(t testing.TB, name string) []byte {
	data, err := os.ReadFile("../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against examples that break a rule of the fleet file.
func TestExamples(t *testing.T) {
	for _, name := range []string{"kitchen.jsonc", "leather.jsonc"} {
		is := is.New(t)
		f, err := fleet.Parse(name, example(t, name))
		is.NoErr(err)
		is.Equal(len(f.Hosts), 50)
		is.Equal(len(f.Pools), 5)
	}
}

// Guards against a fault that is missed or reported on the wrong line, or that prevents later ones from being reported.
func TestFaults(t *testing.T) {
	replace := []struct{ old, new, problem string }{
		{`"name": "kitchen"`, `"name": "kit/chen"`, `the fleet has no valid name`},
		{`{"name": "south", "region": "valley"}`, `{"name": "south"}`, `the data centre has no valid region`},
		{`{"name": "panels"},`, `{"name": "panels", "spare": true}, {"name": "portions"},`, `the name "portions" is already used on line 12`},
		{`"name": "north01", "centre": "north"`, `"name": "north01", "zone": 1, "centre": "nroth"`, `there is no data centre "nroth"`},
		{`"name": "north05"`, `"name": "north01"`, `the name "north01" is already used on line 20`},
		{`"name": "north03", "centre": "north", "rack": "r1"`, `"name": "north03", "centre": "north", "rack": "a/b"`, `"a/b" is not a valid rack`},
		{`"10.1.1.17:8100"`, `"10.1.1.11:8100"`, `has the address 10.1.1.11:8100 too`},
		{`"10.1.1.18:8100", "cores": 32`, `"10.1.1.18", "cores": 0`, `cores is not above zero`},
		{`"10.1.1.19:8100", "cores": 32, "memory": "128GB"`, `"host:1", "cores": 1.5, "memory": 128`, `128 has the wrong unit or form`},
		{`"pool": "portions", "slots": 8`, `"pool": "spare", "slots": 80`, `conns is below slots`},
		{`{"name": "scale", "weight": 8,`, `{"name": "scale", "weight": 0,`, `weight is not above zero`},
		{`"deadline": "1500ms"`, `"deadline": 1500`, `1500 has the wrong unit or form`},
		{`{"name": "check", "weight": 6, "urgency": 1`, `{"name": "archive", "weight": 6, "idempotnt": 1`, `unknown field "idempotnt"`},
		{`{"rate": 400, "burst": 200, "cores": 64}`, `{"rate": -1, "burst": 0, "cores": -1}`, `rate is not above zero`},
		{`["spare", "portions"`, `["spare", "spare", "oven"`, `there is no pool "oven"`},
		{`"action": "reboot", "drain": "2m"`, `"action": "restart", "drain": "0s"`, `"restart" is not an action`},
	}
	is := is.New(t)
	text := string(example(t, "kitchen.jsonc"))
	lines := make([]int, len(replace))
	for i, r := range replace {
		at := strings.Index(text, r.old)
		is.True(at >= 0)
		lines[i] = 1 + strings.Count(text[:at], "\n")
		text = text[:at] + r.new + text[at+len(r.old):]
	}
	_, err := fleet.Parse("kitchen.jsonc", []byte(text))
	var faults *fleet.Faults
	is.True(errors.As(err, &faults))
	is.True(errors.Is(err, fleet.ErrInvalid))
	for i, r := range replace {
		is.True(found(faults, lines[i], r.problem)) // r.problem on its line
	}
	is.Equal(len(faults.List), 28)
}

func found(f *fleet.Faults, line int, problem string) bool {
	for _, x := range f.List {
		if x.Line == line && strings.Contains(x.Problem, problem) && x.Change != "" {
			return true
		}
	}
	fmt.Println("missing:", line, problem)
	fmt.Println(f)
	return false
}

// Guards against accepting a budget with which a wave can never take a host, and a host that is in two pools.
func TestFaultsOfBudgetAndPool(t *testing.T) {
	is := is.New(t)
	text := string(example(t, "kitchen.jsonc"))
	text = strings.Replace(text, `"down": 0.4`, `"down": 0.3`, 1)
	_, err := fleet.Parse("kitchen.jsonc", []byte(text))
	is.NoErr(err) // a spare host can join first
	_, err = fleet.Parse("kitchen.jsonc", []byte(strings.ReplaceAll(text, `"pool": "allergens", "addr"`, `"pool": "panels", "addr"`)))
	is.True(err != nil && strings.Contains(err.Error(), `services[3].pool: pool "allergens" has no hosts`))
	text = strings.ReplaceAll(text, `"pool": "spare"`, `"pool": "panels"`)
	text = strings.Replace(text, `"name": "south02"`, `"name": "south01"`, 1)
	_, err = fleet.Parse("kitchen.jsonc", []byte(text))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `wave "kernel" can never take a host of service "portions" in "north"`))
	is.True(strings.Contains(err.Error(), `host "south01" is also in pool "panels"`))
}

// Guards against syntax faults reported without their line, and against a stack overflow on nested brackets.
func TestSyntax(t *testing.T) {
	for _, c := range []struct {
		text string
		line int
	}{{"{\n\"name\": }", 2}, {"", 1}, {"// x\n" + strings.Repeat("[", 1<<20), 2}, {"[]", 1}, {"/* \n */\n{\"a\" \"b\"}", 3}} {
		is := is.New(t)
		_, err := fleet.Parse("x", []byte(c.text))
		var faults *fleet.Faults
		is.True(errors.As(err, &faults))
		is.Equal(faults.List[0].Line, c.line)
	}
}

// Guards against input that makes the parser panic, and against accepted input that Split and Join change.
func FuzzParse(f *testing.F) {
	f.Add(example(f, "kitchen.jsonc"))
	f.Add(example(f, "leather.jsonc"))
	f.Add([]byte(`{"name":"a","centres":[{"name":"c","region":"r"}],"pools":[{"name":"p"}],"hosts":[{"name":"h",` +
		`"centre":"c","rack":"r","pool":"p","addr":"[::ffff:1.2.3.4]:5","cores":1,"memory":"1B"}],"services":[],"teams":[]}`))
	f.Add([]byte(`{"name": "\ud800", "name": null, "hosts": [{}, [], 1]} // x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := fleet.Parse("fuzz", data)
		if err != nil {
			if !errors.Is(err, fleet.ErrInvalid) || err.Error() == "" {
				t.Fatal(err)
			}
			return
		}
		roundTrip(t, got)
	})
}

// roundTrip fails if Split and Join change a fleet.
func roundTrip(t interface{ Fatal(...any) }, f *cuminstair.Fleet) {
	joined, err := fleet.Join(fleet.Split(f))
	if err != nil {
		t.Fatal(err)
	}
	if fleet.Root(joined) != fleet.Root(f) || (fleet.Check(joined) == nil) != (fleet.Check(f) == nil) {
		t.Fatal("the joined fleet differs", fleet.Diff(f, joined))
	}
}
