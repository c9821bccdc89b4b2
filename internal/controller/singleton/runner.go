package singleton

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// Period is how often Runner.Step is to be called.
const Period = 100 * time.Millisecond

// Job is what there is to do in a task now.
type Job struct {
	// Needed reports whether the holder of the lease has work.
	Needed bool
	// FenceFloor is the highest fencing token that was used for this work under another
	// lease.
	FenceFloor int64
	// Run works under a grant of the lease. It does not wait for calls.
	Run func(ctx context.Context, grant lease.Grant)
}

// Task is work that only the holder of a register's lease may do.
type Task interface {
	// Prepare returns the job in a register with this body; ok is false where the task
	// has nothing to do with the register.
	Prepare(part int, body messages.LeaseBody) (job Job, ok bool)
}

// Runner steps the leases and runs the tasks under them.
type Runner struct {
	leases *Leases
	tasks  []Task
}

// NewRunner returns a runner of these tasks.
func NewRunner(leases *Leases, tasks ...Task) *Runner { return &Runner{leases: leases, tasks: tasks} }

// Step takes the next steps of each register's lease and tasks.
func (r *Runner) Step(ctx context.Context) {
	for part := 1; part < consensus.RegisterCount; part++ {
		r.stepPart(ctx, part)
	}
}

func (r *Runner) stepPart(ctx context.Context, part int) {
	value, ok := r.leases.config.Registers.Committed(part)
	body, err := messages.DecodeLeaseBody(value)
	if !ok || err != nil {
		return
	}
	jobs := r.jobs(part, body)
	if len(jobs) == 0 {
		return
	}
	grant := r.leases.step(ctx, part, value.Group, body.Lease, workOf(jobs), func() { r.stepPart(ctx, part) })
	if grant.Fence == 0 {
		return
	}
	for _, job := range jobs {
		job.Run(ctx, grant)
	}
}

func (r *Runner) jobs(part int, body messages.LeaseBody) []Job {
	var jobs []Job
	for _, task := range r.tasks {
		if job, ok := task.Prepare(part, body); ok {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// workOf sums up the jobs of a register.
func workOf(jobs []Job) work {
	var sum work
	for _, job := range jobs {
		sum.needed = sum.needed || job.Needed
		sum.fenceFloor = max(sum.fenceFloor, job.FenceFloor)
	}
	return sum
}

// CommittedBodies calls visit with the committed body of each register that has a lease.
func CommittedBodies(registers Registers, visit func(part int, body messages.LeaseBody)) {
	for part := 1; part < consensus.RegisterCount; part++ {
		value, ok := registers.Committed(part)
		if !ok {
			continue
		}
		if body, err := messages.DecodeLeaseBody(value); err == nil {
			visit(part, body)
		}
	}
}
