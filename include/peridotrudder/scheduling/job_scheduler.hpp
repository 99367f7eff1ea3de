#pragma once

/// @file
/// Scheduler of an owner's pools: accepts jobs, places their tasks and reports their state.

#include "peridotrudder/scheduling/placement_report.hpp"
#include "peridotrudder/scheduling/run_adoption.hpp"
#include "peridotrudder/scheduling/run_tracker.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"
#include "peridotrudder/scheduling/task_placer.hpp"
#include "peridotrudder/scheduling/tenant_admission.hpp"
#include "peridotrudder/tenants/arrival_meter.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// The scheduler of one owner, from the time it becomes the owner until it is deposed or resigns.
///
/// Does no I/O and reads no clock: events come in with their time, commands go out through the
/// ports, and records go out in batches. The caller writes one batch at a time:
///
///     if (scheduler.needs_write()) {
///         auto batch = scheduler.take_batch(now);
///         ... write batch.m_records ...
///         scheduler.written(batch, now);
///     }
///
/// Answers and starts are sent only after the records they depend on are written (write-ahead).
/// Not thread-safe.
class job_scheduler {
public:
    static std::unique_ptr<job_scheduler> create(scheduler_options options, scheduler_ports ports,
                                                 job_store store, moment now);

    job_scheduler(const job_scheduler&) = delete;
    job_scheduler& operator=(const job_scheduler&) = delete;
    job_scheduler(job_scheduler&&) = delete;
    job_scheduler& operator=(job_scheduler&&) = delete;
    ~job_scheduler() = default;

    void set_config(fleet_config config);
    void worker_listed(const worker_report& report, moment now);
    void worker_unlisted(std::string_view id, moment now);
    /// Marks the runs that a worker had at `seen_at` as lost because its VM was down then, or gone.
    /// Ignored if the worker has answered since.
    void worker_ended(std::string_view id, vm_fate fate, time_point seen_at, moment now);
    /// Adopts the recorded runs of at most `max_jobs` further jobs, and returns their number. Call
    /// after the first list of workers and before any other event than further entries of the list
    /// and configurations, until `has_begun`.
    std::size_t begin_some(std::size_t max_jobs, moment now);
    /// Returns whether all recorded runs are adopted.
    bool has_begun() const { return m_adoption.complete(); }
    /// Adopts all recorded runs at once.
    void begin(moment now);
    /// Sets the pause between holds to a worker; it is longer while the owner is short of CPU.
    void set_hold_pause(milliseconds pause);
    /// Sets the workers whose VMs are being drained.
    void set_leaving(std::set<std::string, std::less<>> workers);

    /// Sets the measured backlog and CPU of each pool, and what the tenants' quotas allow.
    void set_outlooks(std::map<std::string, pool_outlook> outlooks, tenant_outlooks tenants = {});

    /// Returns whether the call would add a job to the job store.
    bool is_new_job(const job_call& call);
    /// Returns whether the call is to a queue that needs a tenant's key.
    bool needs_key(const job_call& call) const;
    /// Returns whether the call lacks a valid key that its queue needs.
    bool lacks_key(const job_call& call) const;
    /// Handles a call. Its answer is sent through `m_answer` with the same token.
    void take_call(std::uint64_t token, const job_call& call, moment now);

    void start_answered(const order_target& target, const run_key& key, std::uint32_t run,
                        const order_answer& answer, moment now);
    void stop_answered(const order_target& target, const run_key& key, std::uint32_t run,
                       const order_answer& answer, moment now);
    void pace_answered(const order_target& target, moment now);
    void hold_answered(const order_target& target, const hold_answer& answer, time_point sent_at,
                       moment now);
    /// Handles the answer to the most recent policy request.
    void policy_answered(const policy_answer& answer, moment now);
    void tick(moment now);

    /// Returns whether there are records to write, effects that wait for a write, jobs to place, or
    /// runs to judge that may get copies.
    bool needs_write() const;
    /// Places the tasks that fit, and returns what there is to write.
    write_batch take_batch(moment now);
    /// Returns whether there are records to write or effects that wait for a write.
    bool has_changes() const;
    /// Returns what there is to write, without placing anything.
    write_batch take_changes();
    void written(const write_batch& batch, moment now);

    /// Tells where a task would start now. Sends, records and changes nothing.
    placement_report explain_placement(const placement_question& question, moment now) const
    {
        return report_placement(m_state, m_placer, question, now);
    }

    /// Returns the state, for planners and operators.
    const scheduler_state& state() const { return m_state; }
    run_tracker& runs() { return m_runs; }
    scheduler_state& mutable_state() { return m_state; }

private:
    job_scheduler(scheduler_options options, scheduler_ports ports, job_store store);

    /// The tenant in whose name a call is made; null on a public queue and without tenants.
    struct caller_identity {
        const tenant_config* m_tenant{nullptr};
    };

    /// Forgets the run times of queues that this configuration changes.
    void forget_changed_queues(const fleet_config& config);
    void log_repeated_tenants() const;
    /// Returns who makes the call, or nothing if it lacks a valid key that the queue needs.
    std::optional<caller_identity> identify(const queue_config& queue, const job_call& call) const;
    /// Returns the job if the caller may use it, or null. Logs that a job was withheld.
    job* find_accessible(const queue_config& queue, const std::string& id,
                         const caller_identity& caller);
    void submit(std::uint64_t token, const queue_config& queue, const std::string& id,
                const job_call& call, const caller_identity& caller, moment now);
    /// Rejects a submission that is longer than the configuration allows. Returns whether it was
    /// rejected.
    bool reject_if_too_long(std::uint64_t token, const std::string& id, const job_call& call);
    /// Rejects the job if the accepted ones leave too little memory for it. Returns whether it was
    /// rejected.
    bool reject_if_out_of_memory(std::uint64_t token, const std::string& id, const job_spec& spec);
    /// Rejects the job if a task or gang of it exceeds the quota of the caller's tenant. Returns
    /// whether it was rejected.
    bool reject_if_above_quota(std::uint64_t token, const std::string& id, const job_spec& spec,
                               const caller_identity& caller);
    /// Rejects the job if it would end too late to be useful. Returns whether it was rejected.
    bool reject_if_overloaded(std::uint64_t token, const queue_config& queue, const std::string& id,
                              const job_spec& spec);
    /// As `reject_if_overloaded`, where tenants share the pools.
    bool reject_by_tenant(std::uint64_t token, const std::string& id, const tenant_job& submitted);
    /// Returns whether a worker that the last placement left free can take one of the job's first
    /// tasks. That worker then counts as taken.
    bool take_free_worker(const tenant_job& submitted);
    void answer_overloaded(std::uint64_t token, milliseconds retry_after);
    void log_submission(std::string_view event, const std::string& id, const tenant_job& submitted,
                        std::string detail) const;
    void count_accepted(const tenant_job& accepted);
    void cancel(std::uint64_t token, const queue_config& queue, const std::string& id,
                const caller_identity& caller, moment now);
    void query(std::uint64_t token, const queue_config& queue, const std::string& id,
               const caller_identity& caller);
    std::uint64_t waiting_jobs(const queue_config& queue, std::int64_t now_ms) const;
    void answer_when_written(std::uint64_t token, const call_answer& answer, const std::string& id);

    scheduler_state m_state;
    run_adoption m_adoption;
    run_tracker m_runs;
    task_placer m_placer;
    arrival_meter m_arrivals;
    /// States that the batch in flight writes.
    std::map<std::string, job_state> m_states_in_flight;
    /// The newest recorded state of each job, which is what queries return.
    std::map<std::string, job_state, std::less<>> m_recorded_states;
    time_point m_expired_at;
};

} // namespace peridotrudder
