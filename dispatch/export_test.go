package dispatch

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// Belief returns what an owner knows of its workers, for the reports of tests.
func (s *Service) Belief(now time.Time) string {
	var list []string
	for id, w := range s.workers {
		list = append(list, fmt.Sprintf("%s[inherited=%v recorded=%v listed=%v synced=%v gone=%v born=%d failed calls=%d runs=%d ends=%d/%d/%d lease left=%s clock age=%s]",
			id, s.inherited[id], w.recorded, w.listed, w.synced, w.gone, w.info.Incarnation, w.failedCalls, len(w.attempts), w.processed, w.stored, w.acknowledged,
			(w.lease-w.clockAtLeast(now)).Round(time.Millisecond), now.Sub(w.clockAt).Round(time.Millisecond)))
	}
	sort.Strings(list)
	return fmt.Sprintf("resolved=%v earlier owner grace=%s age=%s confirmed %s ago, deposed=%v, stopping=%v: %s", s.inheritedResolved(), s.EarlierOwnerGrace,
		now.Sub(s.takenOverAt).Round(time.Millisecond), now.Sub(s.confirmedAt).Round(time.Millisecond), s.deposed, s.stopping, strings.Join(list, " "))
}

// Denials returns the number of denials that are kept.
func (s *Service) Denials() int { return len(s.denied) }

// Admit decides on a job as Submit does, without keeping it.
func (s *Service) Admit(now time.Time, id string, spec *cuminstair.JobSpec, queue cuminstair.WorkQueue, account string) Result {
	j := newJob(id, spec, queue)
	j.account, j.firstSent, j.due = account, now, now.Add(time.Minute)
	s.observeOffer(now, j)
	return s.admit(now, j)
}

// PlacementDue reports whether the next decision runs the placement again.
func (s *Service) PlacementDue() bool { return s.changed || s.spaced }

// Ratio returns the learned ratio of durations to estimates of a queue.
func (s *Service) Ratio(queue string) float64 { return s.ratio[queue] }

// Slowdown returns the learned slowdown of a worker.
func (s *Service) Slowdown(id string) float64 { return s.workers[id].slowdown }

// Dump encodes the whole state, except for the log, so that two states can be compared.
func (s *Service) Dump() string {
	var b strings.Builder
	dump(&b, reflect.ValueOf(s), map[any]int{})
	return b.String()
}

func dump(b *strings.Builder, v reflect.Value, seen map[any]int) {
	switch v.Kind() {
	case reflect.Pointer:
		key := [2]any{v.Pointer(), v.Type()}
		if n, ok := seen[key]; ok || v.IsNil() {
			fmt.Fprintf(b, "#%d", n)
			return
		}
		seen[key] = len(seen) + 1
		dump(b, v.Elem(), seen)
	case reflect.Interface:
		dump(b, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; name != "Log" {
				b.WriteString("\n" + name + "=")
				dump(b, v.Field(i), seen)
			}
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(b, "%d:", v.Len())
		for i := range v.Len() {
			dump(b, v.Index(i), seen)
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(x, y reflect.Value) int { return strings.Compare(fmt.Sprint(x), fmt.Sprint(y)) })
		for _, k := range keys {
			fmt.Fprintf(b, "\n%v:", k)
			dump(b, v.MapIndex(k), seen)
		}
	case reflect.Func, reflect.Chan, reflect.Invalid:
		b.WriteString(v.Kind().String())
	default:
		fmt.Fprintf(b, "%v ", v)
	}
}
