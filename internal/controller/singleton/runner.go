package singleton

import (
	"context"
	"time"

	"beechtide.org/beechtide/internal/consensus"
	"beechtide.org/beechtide/internal/lease"
	"beechtide.org/beechtide/internal/messages"
)

// StepPeriod is the interval at which Step must be called.
const StepPeriod = 100 * time.Millisecond

// Job describes the work that a task has now.
type Job struct {
	// Needed reports whether the holder of the lease has work.
	Needed bool
	// FenceFloor is the highest fencing token that was used for this work under the lease of
	// another register.
	FenceFloor int64
	// Run starts the work under a grant of the lease. It does not wait for calls to end.
	Run func(ctx context.Context, grant lease.Grant)
}

// Task is work that only the holder of a register's lease may do.
type Task interface {
	// Prepare returns the job of the task in a register with this body; ok is false if the
	// task does not use the register.
	Prepare(register int, body messages.LeaseBody) (job Job, ok bool)
}

// Scheduler steps the leases of the registers and runs the tasks under them.
type Scheduler struct {
	leases *Leases
	tasks  []Task
}

// NewScheduler returns a scheduler of the tasks.
func NewScheduler(leases *Leases, tasks ...Task) *Scheduler {
	return &Scheduler{leases: leases, tasks: tasks}
}

// Step runs the next step of each register's lease, and the register's tasks if this controller
// holds the lease.
func (r *Scheduler) Step(ctx context.Context) {
	for register := 1; register < consensus.RegisterCount; register++ {
		r.stepRegister(ctx, register)
	}
}

func (r *Scheduler) stepRegister(ctx context.Context, register int) {
	value, ok := r.leases.config.Registers.Committed(register)
	body, err := messages.DecodeLeaseBody(value)
	if !ok || err != nil {
		return
	}
	jobs := r.jobs(register, body)
	if len(jobs) == 0 {
		return
	}
	grant := r.leases.stepLease(ctx, register, value.Group, body.Lease, mergeJobs(jobs), func() { r.stepRegister(ctx, register) })
	if grant.Fence == 0 {
		return
	}
	for _, job := range jobs {
		job.Run(ctx, grant)
	}
}

func (r *Scheduler) jobs(register int, body messages.LeaseBody) []Job {
	var jobs []Job
	for _, task := range r.tasks {
		if job, ok := task.Prepare(register, body); ok {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// mergeJobs combines the jobs of a register.
func mergeJobs(jobs []Job) pendingWork {
	var sum pendingWork
	for _, job := range jobs {
		sum.needed = sum.needed || job.Needed
		sum.fenceFloor = max(sum.fenceFloor, job.FenceFloor)
	}
	return sum
}

// CommittedBodies calls visit with the committed body of each register that has a lease.
func CommittedBodies(registers Registers, visit func(register int, body messages.LeaseBody)) {
	for register := 1; register < consensus.RegisterCount; register++ {
		value, ok := registers.Committed(register)
		if !ok {
			continue
		}
		if body, err := messages.DecodeLeaseBody(value); err == nil {
			visit(register, body)
		}
	}
}
