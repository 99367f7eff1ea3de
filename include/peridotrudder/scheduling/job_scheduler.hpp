#pragma once

/// @file
/// Decides for the pools of one owner: takes jobs, places their tasks, and tells their state.

#include "peridotrudder/scheduling/run_tracker.hpp"
#include "peridotrudder/scheduling/scheduler_state.hpp"
#include "peridotrudder/scheduling/task_placer.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// The scheduler of one owner, from its claim until it is deposed or resigns.
///
/// Pure: events go in with their time, commands come out through the ports, and what must be
/// recorded comes out in batches. Whoever drives it writes one batch at a time:
///
///     if (scheduler.needs_write()) {
///         auto batch = scheduler.take_batch(now);
///         ... write batch.m_records ...
///         scheduler.written(batch, now);
///     }
///
/// Nothing is told to anybody before it is written. Not thread-safe.
class job_scheduler {
public:
    static std::unique_ptr<job_scheduler> create(scheduler_options options, scheduler_ports ports,
                                                 job_store book, moment now);

    job_scheduler(const job_scheduler&) = delete;
    job_scheduler& operator=(const job_scheduler&) = delete;
    job_scheduler(job_scheduler&&) = delete;
    job_scheduler& operator=(job_scheduler&&) = delete;
    ~job_scheduler() = default;

    void set_config(fleet_config config);
    void worker_listed(const worker_report& report, moment now);
    void worker_unlisted(std::string_view id, moment now);
    /// Notes that the VM of a worker was down at `seen_at`: nothing runs there any more. A worker
    /// that has answered since is another matter.
    void worker_down(std::string_view id, time_point seen_at);
    /// Takes over the runs that are recorded; to be called once, after the first list of workers.
    void begin(moment now);
    /// Sets the pause between the holds of a worker: longer while the owner is short of processor.
    void set_hold_pause(milliseconds pause);
    /// Sets the workers whose VMs are being emptied.
    void set_leaving(std::set<std::string, std::less<>> workers);

    /// Sets what is known of each pool's backlog and processor.
    void set_outlooks(std::map<std::string, pool_outlook> outlooks);

    /// Returns whether the call would add a job to the book.
    bool is_new_job(const job_call& call);
    /// Takes a call; its answer comes through the port with the same token.
    void take_call(std::uint64_t token, const job_call& call, moment now);

    void start_answered(const worker_instance& life, const run_key& key, std::uint32_t run,
                        const order_answer& answer, moment now);
    void stop_answered(const worker_instance& life, const run_key& key, std::uint32_t run,
                       const order_answer& answer, moment now);
    void hold_answered(const worker_instance& life, const hold_answer& answer, time_point sent_at,
                       moment now);
    /// Takes the answer to the question that was asked last.
    void policy_answered(const policy_answer& answer, moment now);
    void tick(moment now);

    /// Returns whether there is anything to write, or to follow a write.
    bool needs_write() const;
    write_batch take_batch(moment now);
    void written(const write_batch& batch, moment now);

    /// What the scheduler knows, for planners and operators.
    const scheduler_state& state() const { return m_state; }
    run_tracker& runs() { return m_runs; }
    scheduler_state& mutable_state() { return m_state; }

private:
    job_scheduler(scheduler_options options, scheduler_ports ports, job_store book);

    void submit(std::uint64_t token, const queue_config& queue, const std::string& id,
                const job_call& call, moment now);
    /// Turns a job away that could only end too late. Returns whether it did.
    bool reject_if_overloaded(std::uint64_t token, const queue_config& queue, const std::string& id,
                              const job_spec& spec);
    void cancel(std::uint64_t token, const std::string& id, moment now);
    void query(std::uint64_t token, const std::string& id);
    std::uint64_t waiting_jobs(const queue_config& queue, std::int64_t now_ms) const;
    void answer_when_written(std::uint64_t token, const call_answer& answer, const std::string& id);

    scheduler_state m_state;
    run_tracker m_runs;
    task_placer m_placer;
    /// Jobs whose state is being written.
    std::map<std::string, job_state> m_being_written;
    /// What callers may be told: the state of each job as it is recorded.
    std::map<std::string, job_state, std::less<>> m_recorded;
    time_point m_expired_at;
};

} // namespace peridotrudder
