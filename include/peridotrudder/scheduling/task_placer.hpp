#pragma once

/// @file
/// Places waiting tasks on workers.

#include "peridotrudder/scheduling/copy_placement.hpp"
#include "peridotrudder/scheduling/fair_order.hpp"
#include "peridotrudder/scheduling/job_rank.hpp"
#include "peridotrudder/scheduling/placement_probe.hpp"
#include "peridotrudder/scheduling/rack_placement.hpp"
#include "peridotrudder/scheduling/run_tracker.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace peridotrudder {

/// Places waiting tasks, one pool after the other: in order of job rank, or of `fair_order` if the
/// configuration has tenants. Not thread-safe.
class task_placer {
public:
    explicit task_placer(scheduler_state& state) : m_state{&state}, m_racks{state}, m_copies{state}
    {
    }

    /// Continues with the waits for racks of another one on a copy of its state.
    task_placer(scheduler_state& state, const task_placer& other)
        : m_state{&state},
          m_racks{state, other.m_racks},
          m_copies{state}
    {
    }

    /// Records what passes decide about one task. The probe must outlive the placer.
    void watch(placement_probe& probe) { m_probe = &probe; }

    /// Places the waiting tasks that fit, up to a bounded number; the jobs of the others remain
    /// schedulable. Then places copies of late runs. Starts are sent only after they are recorded.
    void place_all(moment now);

    void tick(time_point now) { m_copies.tick(now); }
    /// Returns whether runs are to be judged that may get copies.
    bool copies_due() const { return m_copies.due(); }

private:
    struct waiting_job {
        job_rank m_rank;
        job* m_job{nullptr};
        const queue_config* m_queue{nullptr};
        /// Of the job's tenant.
        tenant_account* m_account{nullptr};
    };

    std::map<std::string, std::vector<waiting_job>> collect(moment now);
    void place_by_rank(std::vector<waiting_job>& jobs, std::vector<candidate>& candidates,
                       moment now);
    void place_fairly(const std::string& pool, const std::vector<waiting_job>& jobs,
                      std::vector<candidate>& candidates, moment now);
    /// Returns whether another tenant is to place the next task.
    bool turn_is_over() const { return m_order != nullptr && !m_order->keeps_turn(); }
    std::vector<candidate> candidates_of(const std::string& pool, time_point now);
    /// Returns whether the job needs no further pass until it changes.
    bool place_job(const waiting_job& waiting, std::vector<candidate>& candidates, moment now);
    bool place_step(const waiting_job& waiting, std::uint32_t occurrence, std::uint32_t step,
                    std::vector<candidate>& candidates, moment now);
    /// Returns whether a worker still has a run that it is to stop, of one of the step's tasks from
    /// `first` on.
    bool has_stranger_of_step(const run_key& first, std::uint32_t count) const;
    bool place_gang(const waiting_job& waiting, std::uint32_t occurrence, std::uint32_t step,
                    std::vector<candidate>& candidates, moment now);
    /// Returns the request without the rack that the task prefers.
    placement_request make_constraints(const waiting_job& waiting, const task_ref& ref) const;
    placement_request make_placement_request(const waiting_job& waiting, const task_ref& ref);
    /// Returns a worker that the task may start on now, or null. Then asks for tickets.
    candidate* find_worker(const waiting_job& waiting, const placement_request& request,
                           std::vector<candidate>& candidates, time_point now);
    void place_task(job& target, const task_ref& ref, candidate& chosen, moment now);
    /// Logs the first placement of a job.
    void log_first_placement(const job& target, const std::string& worker, moment now) const;

    bool watches(const waiting_job& waiting, const task_ref& ref) const
    {
        return m_probe != nullptr && m_probe->m_key.m_job == waiting.m_rank.m_id &&
               m_probe->m_key.m_task == ref;
    }
    /// Notes for the probe whether a worker could take its task before the pool's jobs are placed.
    void probe_room(const std::string& pool, const std::vector<waiting_job>& jobs,
                    const std::vector<candidate>& candidates, time_point now);
    /// Notes the outcome for the probe if it watches the task. `chosen` is null unless it starts.
    void observe(task_outcome outcome, const waiting_job& waiting, const placement_request& request,
                 const std::vector<candidate>& candidates, time_point now,
                 const candidate* chosen = nullptr);
    /// Likewise, for a task whose request was not made.
    void observe(task_outcome outcome, const waiting_job& waiting, const task_ref& ref,
                 const std::vector<candidate>& candidates, time_point now);
    /// Returns why the task found no worker.
    static task_outcome outcome_without_worker(const placement_request& request,
                                               const std::vector<candidate>& candidates,
                                               time_point now);
    void probe_workers(const placement_request& request, const std::vector<candidate>& candidates,
                       time_point now);

    /// Requests tickets for the workers that the task fits on.
    void request_tickets(const waiting_job& waiting, const placement_request& request,
                         const std::vector<candidate>& candidates, time_point now);
    /// Records what is left free after every waiting task of the pool was tried.
    void note_free_workers(const std::string& pool, const std::vector<candidate>& candidates,
                           time_point now);
    bool is_known_not_to_fit(const step_spec& step) const;
    void remember_size(const placement_request& request);

    scheduler_state* m_state;
    placement_probe* m_probe{nullptr};
    rack_placement m_racks;
    copy_placement m_copies;
    /// Sizes that did not fit in this pass's pool; tasks at least as large are not tried.
    std::vector<resources> m_sizes_without_room;
    /// The order of the pool that is being placed; null without tenants.
    fair_order* m_order{nullptr};
    /// Tasks placed so far in this pass's pool, and the most that may be.
    std::size_t m_starts{0};
    std::size_t m_max_starts{0};
};

} // namespace peridotrudder
