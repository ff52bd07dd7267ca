package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// benchRacks is the number of racks of a benchmark.
const benchRacks = 5

// BenchmarkDecideOverload measures one decision of a service with full workers and waiting steps.
func BenchmarkDecideOverload(b *testing.B) {
	benchmarkDecide(b, cuminstair.Bounds{}, func() cuminstair.JobStep {
		return cuminstair.JobStep{Count: 8, CPU: 3000, Memory: 1000, Estimate: time.Hour}
	})
}

// BenchmarkDecideWaiting measures one decision of a service in which the tasks of many steps wait for a full rack while others
// have room.
func BenchmarkDecideWaiting(b *testing.B) {
	benchmarkDecide(b, cuminstair.Bounds{RemoteFactor: 2}, func() cuminstair.JobStep {
		return cuminstair.JobStep{Count: 8, CPU: 3000, Memory: 1000, Estimate: time.Hour, DataRack: "r0"}
	})
}

func benchmarkDecide(b *testing.B, bounds cuminstair.Bounds, step func() cuminstair.JobStep) {
	b.Helper()
	for _, workers := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := dispatch.New("s", 1, begin, hclog.NewNullLogger())
			s.Bounds = bounds
			var list []cuminstair.WorkerInfo
			for i := range workers {
				id := fmt.Sprintf("w%d", i)
				list = append(list, cuminstair.WorkerInfo{ID: id, Addr: id, CPU: hostCPU, Memory: hostMemory, Incarnation: 1, Rack: fmt.Sprintf("r%d", i%benchRacks)})
			}
			s.SetWorkers(begin, list)
			now := begin
			advance := func() {
				for _, o := range s.Decide(now, now) {
					switch o.Kind {
					case dispatch.OrderRenew:
						s.Renewed(now, now.Add(-time.Millisecond), o.Worker.ID, cuminstair.WorkerReport{Clock: now.Sub(begin) + time.Hour}, nil)
					case dispatch.OrderStart:
						s.Started(now, o, 0, nil)
					default:
					}
				}
				if batch := s.Batch(now); batch != nil {
					s.Stored(now, batch)
				}
				now = now.Add(10 * time.Millisecond)
			}
			advance()
			for i := range workers * 4 {
				id := fmt.Sprintf("%016x", i)
				spec := &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step()}}
				s.Submit(now, id, spec, cuminstair.WorkQueue{Name: "q", TargetFactor: 1e6}, "", func(dispatch.Result) {})
				advance()
			}
			b.ResetTimer()
			for range b.N {
				s.SetWorkers(now, list)
				advance()
			}
		})
	}
}

// BenchmarkAdmit measures one admission at 70 jobs a second on 100 workers with 100 accepted jobs, without client accounts and
// with 1,000 that offer more than the capacity.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{0, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			const workers, jobs = 100, 100
			s := dispatch.New("s", 1, begin, hclog.NewNullLogger())
			var list []cuminstair.WorkerInfo
			for i := range workers {
				id := fmt.Sprintf("w%d", i)
				list = append(list, cuminstair.WorkerInfo{ID: id, Addr: id, CPU: hostCPU, Memory: hostMemory, Incarnation: 1})
			}
			s.SetWorkers(begin, list)
			names := []string{""}
			if accounts > 0 {
				names = nil
				var list []cuminstair.ClientAccount
				for i := range accounts {
					names = append(names, fmt.Sprintf("a%d", i))
					list = append(list, cuminstair.ClientAccount{Name: names[i], Weight: 1})
				}
				s.SetAccounts(list)
			}
			spec := &cuminstair.JobSpec{Steps: []cuminstair.JobStep{{Count: 32, CPU: 3000, Memory: 1000, Estimate: time.Second}}}
			queue := cuminstair.WorkQueue{Name: "q", Service: "s", TargetFactor: 10, Target: time.Minute}
			for i := range jobs {
				s.Submit(begin, fmt.Sprintf("%016x", i), spec, queue, names[i%len(names)], func(dispatch.Result) {})
			}
			now := begin
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Second / 70)
				s.Admit(now, "ffffffffffffffff", spec, queue, names[i%len(names)])
			}
		})
	}
}
