package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/job"
)

const (
	// jobTeams is the number of teams in fleet.Large, the fleet size that the system is designed for.
	jobTeams = 310
	// jobsPerWorker is large enough to fill the workers and leave jobs queued.
	jobsPerWorker = 10
	workerCores   = 32
	workerMemory  = cuminstair.Bytes(128e9)
)

// placement is the cost of placing jobs on empty workers until no more fit.
type placement struct {
	placed   int
	probed   float64       // workers examined for each placement
	steps    float64       // steps of the decisions (job.Scheduler.Work) for each placement
	meanTime time.Duration // of one placement
	fullTime time.Duration // of one decision in which no queued job fits
}

// measurePlacement fills the workers of one data centre with jobs of jobTeams teams.
func measurePlacement(workers int) placement {
	rng := rand.New(rand.NewPCG(1, 5))
	s := job.New()
	for i := range workers {
		s.AddWorker(job.Worker{Name: fmt.Sprintf("h%05d", i), Cores: workerCores, Memory: workerMemory})
	}
	for i := range jobTeams {
		s.SetTeam(fmt.Sprintf("t%03d", i), workerCores*float64(workers))
	}
	for i := range workers * jobsPerWorker {
		s.Submit(epoch, job.Job{
			ID: fmt.Sprintf("j%06d", i), Team: fmt.Sprintf("t%03d", i%jobTeams), Class: fmt.Sprintf("c%02d", i%20),
			Cores: 0.5 + 12*rng.Float64(), Memory: cuminstair.Bytes(rng.IntN(40)+1) * 1e9,
		})
	}
	var p placement
	begin := clock.Now()
	for {
		plan := s.Decide(epoch)
		if len(plan.Starts) == 0 {
			break
		}
		p.placed += len(plan.Starts)
		for _, st := range plan.Starts {
			s.StartResult(epoch, st, true, false)
		}
	}
	p.meanTime = clock.Now().Sub(begin) / time.Duration(max(p.placed, 1))
	p.probed = float64(s.Probed()) / float64(p.placed)
	p.steps = float64(s.Work) / float64(p.placed)
	p.fullTime = wallTime(3, func() { s.Decide(epoch) })
	return p
}

func measureJob(_ context.Context, r *report) error {
	var rows [][]string
	for _, workers := range []int{50, 1232, 4000, 28000} {
		p := measurePlacement(workers)
		rows = append(rows, cells(workers, workers*jobsPerWorker, p.placed, p.probed, p.steps, p.meanTime, p.fullTime))
	}
	r.table(fmt.Sprintf("placement of jobs of %d teams in one data centre, on workers of %d cores", jobTeams, workerCores), []string{
		"workers", "jobs", "placed", "workers looked at each", "steps each", "time each" + wall, "decision when full" + wall,
	}, rows)
	return nil
}
