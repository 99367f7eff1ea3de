#pragma once

/// @file
/// State of an owner: its jobs, workers and configuration, shared by the scheduler's modules.

#include "peridotrudder/jobs/job_store.hpp"
#include "peridotrudder/machines/order_queue.hpp"
#include "peridotrudder/machines/worker_grade.hpp"
#include "peridotrudder/machines/worker_health.hpp"
#include "peridotrudder/machines/worker_session.hpp"
#include "peridotrudder/scheduling/admission.hpp"
#include "peridotrudder/scheduling/job_call.hpp"
#include "peridotrudder/scheduling/pool_config.hpp"
#include "peridotrudder/scheduling/run_times.hpp"
#include "peridotrudder/scheduling/ticket_cache.hpp"
#include "peridotrudder/tenants/quota_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace peridotrudder {

/// One line of the decision log.
struct decision {
    std::string_view m_event;
    std::string m_job;
    std::string m_worker;
    std::string m_detail;
    /// Duration that led to the event, such as from a job's arrival to its end.
    std::optional<milliseconds> m_took{};
    /// Tenant that the decision is about; empty for none.
    std::string m_tenant{};
    /// "contracted" or "excess" for a decision about one of the tenant's jobs.
    std::string_view m_kind{};
};

/// Outgoing hooks of the scheduler. All must be set; none may call the scheduler synchronously.
struct scheduler_ports {
    std::function<void(const worker_report&, const start_order&)> m_start;
    std::function<void(const worker_report&, const stop_order&)> m_stop;
    std::function<void(const worker_report&, const pace_order&)> m_pace;
    std::function<void(const worker_report&, const hold_order&)> m_hold;
    std::function<void(const policy_request&)> m_ask;
    std::function<void(std::uint64_t token, const call_answer&)> m_answer;
    std::function<void(const decision&)> m_log;
    /// Called once a worker has seen a higher fencing token: another owner has taken over.
    std::function<void()> m_deposed;
};

/// An answer to send once the state it reports is recorded.
struct answer_effect {
    std::uint64_t m_token{0};
    call_answer m_answer;
};

/// A start to send once it is recorded, so that a successor knows of the run.
struct start_effect {
    worker_instance m_instance;
    run_key m_key;
    std::uint32_t m_run{0};
};

/// Run ends to acknowledge to a worker once they are recorded.
struct ends_effect {
    worker_instance m_instance;
    std::uint64_t m_number{0};
};

using write_effect = std::variant<answer_effect, start_effect, ends_effect>;

/// Records to write together, and the effects to carry out after the write.
struct write_batch {
    std::vector<keyed_record> m_records;
    std::vector<write_effect> m_effects;
    /// States, as callers see them, of the jobs whose records are in the batch.
    std::map<std::string, job_state> m_jobs;
};

/// Returns the task's occurrence, step and index as text, such as "0.1.17".
std::string to_text(const task_ref& task);

struct scheduler_options {
    /// Fencing token of workers that were not seen yet.
    std::uint64_t m_fence{0};
    lease_options m_lease;
    /// Time for which an ended job is kept for queries.
    milliseconds m_retention{120'000};
    /// Most bytes that accepted jobs may take until their tasks start; beyond it new jobs are
    /// refused.
    std::size_t m_max_job_bytes{std::numeric_limits<std::size_t>::max()};
    /// Factor by which a task takes longer on another rack than its data or its group; 1 or less
    /// lets no task wait for a rack.
    double m_far_factor{1.0};
    /// Most of a pool's CPU that copies of late runs may use, in percent; none are started at zero.
    std::uint32_t m_copies_percent{0};
    /// Grades workers by their runs; otherwise workers that fail repeatedly are used last.
    bool m_graded_health{false};
};

/// Totals over accepted jobs, based on their estimates. They grow as long as the owner serves,
/// beyond any integer if estimates are absurd.
struct accepted_total {
    /// Work, in thousandths of a core times milliseconds.
    double m_work{0.0};
    /// Sum of each job's work times the milliseconds of its longest chain.
    double m_work_by_chain{0.0};
    std::int64_t m_jobs{0};
    /// Of the work, that of contracted jobs. Counted with tenants in the configuration.
    double m_contracted_work{0.0};
    /// The work by tenant, that of jobs without one under the empty name; counted likewise.
    std::map<std::string, double, std::less<>> m_work_by_tenant;
};

/// Capacity of a worker that no waiting task could use.
struct free_worker {
    std::string m_id;
    resources m_room;
};

/// Returns the class of tasks that a step's tasks belong to.
run_class class_of(const job& source, std::uint32_t step);

struct scheduler_state {
    scheduler_options m_options;
    scheduler_ports m_ports;
    job_store m_job_store;
    fleet_config m_config;
    /// What the tenants' runs use. Each run in a worker's session holds its charge.
    quota_ledger m_quotas;
    std::map<std::string, worker_session, std::less<>> m_workers;
    /// Orders that wait until they may be sent.
    order_queue m_orders{order_queue::create({})};
    /// By pool; used without `m_graded_health`.
    std::map<std::string, worker_health, std::less<>> m_health;
    /// By pool; used with `m_graded_health`. Only choices of workers depend on them.
    std::map<std::string, worker_grades, std::less<>> m_grades;
    /// Workers whose VMs are being drained; they get no new work.
    std::set<std::string, std::less<>> m_leaving;
    /// Jobs that may have tasks to start.
    std::set<std::string> m_schedulable_jobs;
    /// Totals of the short jobs accepted so far, by pool.
    std::map<std::string, accepted_total> m_accepted_work;
    /// Tickets for queues with a placement policy.
    ticket_cache m_tickets;
    /// By pool; no entry before the first measurement.
    std::map<std::string, pool_outlook> m_outlooks;
    /// Of the tenants that have a quota.
    tenant_outlooks m_tenant_outlooks;
    /// What the newest placement left free, by pool. Recorded with tenants in the configuration.
    std::map<std::string, std::vector<free_worker>> m_free_workers;
    /// Workers that run a task without the owner's doing, and are to stop it.
    std::map<run_key, std::set<std::string>> m_strangers;
    /// Worker on which a task failed last.
    std::map<run_key, std::string> m_failed_on;
    /// Jobs that may have runs of which copies may be started.
    std::set<std::string> m_speculative_jobs;
    /// Whether copies of a predecessor were adopted.
    bool m_adopted_copies{false};
    /// Learned run times. Only the quality of choices depends on them.
    run_times m_run_times;
    /// Effects to carry out once the next batch is written.
    std::vector<write_effect> m_effects;
    bool m_deposed{false};

    worker_session* find_worker(std::string_view id);
    /// Returns the worker if it is still this instance, or null.
    worker_session* find_instance(const worker_instance& instance);
    /// Returns the job's queue as configured now or, if it was removed, as it was at submission.
    const queue_config& queue_of(const job_header& header) const;
    /// Returns the account of the job's tenant.
    tenant_account& account_of(const job_header& header);
    /// Returns the charge of one more run of a task of the step.
    quota_charge charge_for(const job& target, std::uint32_t step);
    /// Returns whether the tenant's quota allows to start runs with these resources in total, which
    /// are the declared ones also for best-effort tasks. If not, notes that the tenant waits.
    bool quota_allows(tenant_account& account, const resources& required, time_point now);
    /// Logs which tenants have begun or ceased to wait for their quotas.
    void log_quota_waits(time_point now);
    /// Returns whether the expected run times of the step's tasks decide on anything.
    bool uses_run_times(const step_spec& step) const
    {
        return m_options.m_far_factor > 1.0 || m_options.m_graded_health ||
               (step.m_speculative && m_options.m_copies_percent > 0);
    }
    /// Returns whether a task of the step may have had a copy in this owner's term.
    bool may_have_copies(const step_spec& step) const
    {
        return step.m_speculative && (m_options.m_copies_percent > 0 || m_adopted_copies);
    }
    /// Returns whether a worker still has a run of the task that it is to stop.
    bool has_stranger(const run_key& key);
    worker_health& health_of(const std::string& pool);
    std::size_t pool_size(std::string_view pool) const;
    /// Starts a run once its placement is recorded.
    void start_when_recorded(const worker_instance& instance, const run_key& key,
                             std::uint32_t run);
    /// Marks the job for writing and for placement.
    void changed(const std::string& job_id);
    void log(std::string_view event, const std::string& job, const std::string& worker,
             std::string detail) const;
    /// Logs an event of a run, with the task's occurrence, step and index.
    void log_run(std::string_view event, const run_key& key, const std::string& worker,
                 std::string_view detail) const;
    void log_timed(std::string_view event, const std::string& job, const std::string& worker,
                   std::string detail, milliseconds took) const;
};

} // namespace peridotrudder
