package chart_test

import (
	"testing"
	"testing/fstest"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair/chart"
)

func load(text string) (*chart.Chart, error) {
	return chart.Load(fstest.MapFS{"c.chart.json": {Data: []byte(text)}}, "c.chart.json")
}

// Guards against events that are accepted in a state that does not allow them.
func TestNext(t *testing.T) {
	is := is.New(t)
	c, err := load(`{"name":"host","start":"up","final":["gone"],"events":["drain","lose"],
		"states":{"up":{"drain":"leaving","lose":"gone"},"leaving":{"lose":"gone"},"gone":{}}}`)
	is.NoErr(err)
	next, err := c.Next("up", "drain")
	is.NoErr(err)
	is.Equal(next, "leaving")
	next, err = c.Next("leaving", "drain")
	is.True(errors.Is(err, chart.ErrEventNotAllowed))
	is.Equal(next, "leaving")
}

// Guards against an invalid chart that is not rejected when it is loaded.
func TestLoadFindsFaults(t *testing.T) {
	for name, text := range map[string]string{
		"unknown state":     `{"name":"x","start":"a","events":["e"],"states":{"a":{"e":"b"}}}`,
		"unknown start":     `{"name":"x","start":"z","events":["e"],"states":{"a":{"e":"a"}}}`,
		"unreachable state": `{"name":"x","start":"a","events":["e"],"states":{"a":{"e":"a"},"b":{"e":"a"}}}`,
		"undeclared event":  `{"name":"x","start":"a","events":["e"],"states":{"a":{"e":"a","f":"a"}}}`,
		"missing event":     `{"name":"x","start":"a","events":["e","f"],"states":{"a":{"e":"a"}}}`,
		"dead end":          `{"name":"x","start":"a","events":["e"],"states":{"a":{"e":"b"},"b":{}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := load(text)
			is.True(errors.Is(err, chart.ErrInvalid))
		})
	}
}
