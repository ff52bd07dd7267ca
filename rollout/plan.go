package rollout

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
)

// ErrStale is the error that every *Conflict matches with errors.Is.
const ErrStale = errors.ConstError("the fleet was changed since it was read")

// Conflict is the error of an apply whose base generation is no longer the accepted one. Nothing was written.
type Conflict struct {
	Base    uint64   // the generation that the operator had read
	Head    uint64   // the accepted generation
	By      []string // who changed the fleet since
	Changed []string // what changed from Base to Head, in words
	Overlap []string // the lines of Changed that the rejected file changes too
}

// Error names the generation and what differs.
func (c *Conflict) Error() string {
	text := fmt.Sprintf("the file is based on generation %d, but generation %d is accepted", c.Base, c.Head)
	if len(c.Changed) > 0 {
		text += "; since then: " + strings.Join(c.Changed, "; ")
	}
	return text + "; read the fleet again and repeat the change"
}

// Is makes errors.Is(err, ErrStale) true.
func (c *Conflict) Is(target error) bool { return target == ErrStale }

// Base is what a plan starts from: the accepted configuration, as it was read from the platform.
type Base struct {
	Head     Head
	Manifest fleet.Manifest
	Fleet    *cuminstair.Fleet // nil if Head.Gen is 0
	// Changes are the changes after the generation that the operator had read, up to Head, in order.
	Changes []Change
}

// Apply is a request of an operator to accept a fleet.
type Apply struct {
	Fleet *cuminstair.Fleet
	Base  uint64 // the generation at which the operator read the fleet; 0 for the first fleet
	By    string
	ID    string // of the commit; unique for each attempt
}

// Plan lists what has to be written, in this order: Objects, then Commit. The configuration is accepted when the commit
// succeeds.
type Plan struct {
	Head    Head
	Again   bool // the fleet was already accepted as Head; nothing has to be written
	Change  Change
	Objects []fleet.Section // changed sections; the manifest comes last, under its root hash
	Commit  cuminstair.Commit
}

// Make plans an apply. Errors: *fleet.Faults if the fleet is invalid, *Conflict if another configuration was accepted
// since the operator read the fleet.
//
// A repeat of an apply whose answer was lost is recognised by its root hash: it is in the change that follows the
// generation that the operator had read, even if later changes were accepted since.
func Make(b Base, a Apply) (*Plan, error) {
	if err := fleet.Check(a.Fleet); err != nil {
		return nil, fmt.Errorf("check the fleet: %w", err)
	}
	sections := fleet.Split(a.Fleet)
	next := fleet.ManifestOf(sections)
	root := next.Root()
	if first := changeAfter(b.Changes, a.Base); first != nil && first.Head.Root == root {
		return &Plan{Head: first.Head, Again: true}, nil
	}
	if a.Base != b.Head.Gen {
		return nil, conflict(b, a)
	}
	if b.Head.Gen > 0 && b.Head.Root == root {
		return &Plan{Head: b.Head, Again: true}, nil
	}
	return newPlan(b, a, sections, next), nil
}

// changeAfter returns the change that directly follows a generation, or nil.
func changeAfter(changes []Change, gen uint64) *Change {
	for i := range changes {
		if changes[i].From == gen && changes[i].Head.Gen == gen+1 {
			return &changes[i]
		}
	}
	return nil
}

func conflict(b Base, a Apply) *Conflict {
	c := &Conflict{Base: a.Base, Head: b.Head.Gen}
	for _, ch := range b.Changes {
		if ch.Head.Gen > a.Base {
			c.Changed = append(c.Changed, ch.Words...)
			if ch.By != "" {
				c.By = append(c.By, ch.By)
			}
		}
	}
	if b.Fleet != nil {
		c.Overlap = fleet.Overlap(c.Changed, fleet.Diff(b.Fleet, a.Fleet))
	}
	return c
}

func newPlan(b Base, a Apply, sections []fleet.Section, next fleet.Manifest) *Plan {
	head := Head{Gen: b.Head.Gen + 1, Root: next.Root()}
	delta := b.Manifest.Diff(next)
	from := b.Fleet
	if from == nil {
		from = &cuminstair.Fleet{}
	}
	change := Change{From: b.Head.Gen, Head: head, Delta: delta, Words: shorten(fleet.Diff(from, a.Fleet)), By: a.By}
	p := &Plan{Head: head, Change: change}
	for _, e := range delta.Set {
		p.Objects = append(p.Objects, sectionNamed(sections, e.Name))
	}
	p.Objects = append(p.Objects, fleet.Section{Hash: head.Root, Data: next.Encode()})
	p.Commit = cuminstair.Commit{
		ID:     a.ID,
		Checks: []cuminstair.Check{{Key: HeadKey, Version: b.Head.Version}},
		Puts: []cuminstair.Put{
			{Key: HeadKey, Value: Encode(head)},
			{Key: ChangeKey(head.Gen), Value: Encode(change)},
		},
	}
	return p
}

func sectionNamed(sections []fleet.Section, name string) fleet.Section {
	for _, s := range sections {
		if s.Name == name {
			return s
		}
	}
	return fleet.Section{}
}

// shorten truncates a long description of a difference.
func shorten(words []string) []string {
	if len(words) <= maxWords {
		return words
	}
	more := fmt.Sprintf("and %d more", len(words)-maxWords+1)
	return append(words[:maxWords-1:maxWords-1], more)
}
