#pragma once

/// @file
/// A job with the state of each of its tasks, and their stored form.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/jobs/job_spec.hpp"
#include "peridotrudder/jobs/queue_config.hpp"
#include "peridotrudder/jobs/task_table.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <gsl/span>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace peridotrudder {

/// A run that may be on a worker, or be started there late, though no task has it any more: its
/// task has another run, waits or is done.
struct leftover_run {
    task_ref m_task;
    std::uint32_t m_run{0};
    std::string m_worker;
    /// Unix milliseconds at which the task no longer had the run.
    std::int64_t m_noted_ms{0};
    /// The start was answered or seen to be carried out.
    bool m_settled{false};
};

/// How a run ended.
enum class run_end {
    done,
    /// The run failed, by its own fault or the worker's.
    failed,
    /// The worker stopped it on an order.
    stopped,
    /// The worker's lease expired.
    lease_expired,
    /// Another member of the gang ended.
    gang_broken,
    /// The other members of the gang did not start in time.
    gang_incomplete,
};

template <>
struct enum_names<run_end> {
    static constexpr std::array<std::string_view, 6> values{"done",   "failed", "stopped",
                                                            "lapsed", "broken", "alone"};
};

enum class job_phase { active, completed, failed, cancelled };

template <>
struct enum_names<job_phase> {
    static constexpr std::array<std::string_view, 4> values{"active", "completed", "failed",
                                                            "cancelled"};
};

/// The tenant that a job belongs to.
struct job_tenant {
    std::string m_name;
    /// The job exceeded the tenant's contracted rate when it was submitted.
    bool m_excess{false};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("name", self.m_name);
        archive.field("excess", self.m_excess);
    }
};

/// The immutable part of a job's record.
struct job_header {
    std::string m_id;
    /// The queue as it was at submission, which applies if the queue has been removed since.
    queue_config m_queue;
    /// Unix milliseconds at which the job was accepted.
    std::int64_t m_accepted_ms{0};
    job_spec m_spec;
    /// None for jobs of public queues and without tenants in the configuration.
    std::optional<job_tenant> m_tenant{};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("id", self.m_id);
        archive.field("queue", self.m_queue);
        archive.field("accepted_ms", self.m_accepted_ms);
        archive.field("spec", self.m_spec);
        archive.field("tenant", self.m_tenant);
    }
};

/// A job and its tasks. Member functions keep the task counts consistent with the tasks.
///
/// Does no I/O and reads no clock; the caller decides where tasks run. Not thread-safe.
///
///     auto example = job::create(header);
///     example.place({0, 0, 3}, worker);
///     example.end({0, 0, 3}, 1, run_end::done, "", attempts, now_ms);
class job {
public:
    static job create(job_header header);

    /// Returns a copy without what placement does not need, so that it takes little memory:
    /// payload, checkpoints and notes of leftover runs. They are copied first, job by job.
    job copy_for_placement() const;

    const job_header& header() const { return m_header; }
    const job_spec& spec() const { return m_header.m_spec; }
    job_phase phase() const { return m_phase; }
    /// Unix milliseconds at which the job ended; zero while it is active.
    std::int64_t ended_ms() const { return m_ended_ms; }
    /// Returns whether a worker is known to have started a run of the job.
    bool begun() const { return m_begun; }

    std::uint32_t occurrences() const { return m_tasks.occurrences(); }
    /// Returns the Unix milliseconds at which an occurrence is due.
    std::int64_t due_ms(std::uint32_t occurrence) const;
    /// Returns whether the task exists.
    bool has(const task_ref& ref) const { return m_tasks.has(ref); }
    const task& at(const task_ref& ref) const { return m_tasks.at(ref); }
    /// Returns the tasks of a step; the view is valid until the job changes.
    task_list tasks(std::uint32_t occurrence, std::uint32_t step) const
    {
        return m_tasks.list(occurrence, step);
    }
    /// Returns whether all steps that the step depends on are done.
    bool unblocked(std::uint32_t occurrence, std::uint32_t step) const;
    /// Returns how many tasks of the step have no run and are not finished.
    std::uint32_t waiting(std::uint32_t occurrence, std::uint32_t step) const
    {
        return m_tasks.count(occurrence, step, task_phase::waiting);
    }
    /// Returns how many tasks of the step have a run.
    std::uint32_t placed(std::uint32_t occurrence, std::uint32_t step) const
    {
        return m_tasks.count(occurrence, step, task_phase::placed);
    }
    /// Returns how many tasks of the step are not done.
    std::uint32_t open_tasks(std::uint32_t occurrence, std::uint32_t step) const
    {
        return m_tasks.open(occurrence, step);
    }
    /// Returns how many runs of the task, or of its gang, have failed.
    std::uint32_t failures(const task_ref& ref) const;
    std::uint32_t placed_tasks() const
    {
        return static_cast<std::uint32_t>(m_tasks.count(task_phase::placed));
    }
    /// Returns the tasks that have a run.
    std::vector<task_ref> placed_refs() const { return m_tasks.placed(); }
    /// Returns how many tasks are not done.
    std::uint64_t unfinished_tasks() const { return all_tasks() - m_tasks.count(task_phase::done); }
    /// Returns the number of tasks of all occurrences, those that are done included.
    std::uint64_t all_tasks() const { return m_tasks.size(); }

    /// Gives the task a new run on `worker` and returns the run's number.
    std::uint32_t place(const task_ref& ref, const worker_instance& worker);

    /// Gives a placed task without a copy one on `worker` and returns its run number.
    std::uint32_t place_copy(const task_ref& ref, const worker_instance& worker);

    /// Gives each task of a gang a run on the worker at its index. All runs get the same number,
    /// which is returned.
    std::uint32_t place_gang(std::uint32_t occurrence, std::uint32_t step,
                             gsl::span<const worker_instance> workers);

    /// Notes that runs were given to tasks at a time, in Unix milliseconds.
    void note_placement(std::int64_t now_ms) { m_placed_ms = std::max(m_placed_ms, now_ms); }

    /// Returns the Unix milliseconds at which the job's newest run was placed; zero if unknown.
    std::int64_t placed_ms() const { return m_placed_ms; }

    /// Notes that the start of a run was answered, or that the run was seen on its worker. Goes
    /// into the record with the job's next change.
    void settle_start(const task_ref& ref, std::uint32_t run);

    /// Notes that a run which its task no longer has may still be on a worker. Only jobs of tenants
    /// have such notes: successors count these runs against the quota. Returns whether it is to be
    /// recorded; a note that is repeated within seconds is not. Takes logarithmic time, and for
    /// tasks in their order constant time.
    bool note_leftover(leftover_run leftover);
    /// Returns the noted runs that were not dropped, by task.
    std::vector<leftover_run> leftovers() const;
    /// Returns whether any run is noted.
    bool has_leftovers() const { return !m_leftovers.empty(); }
    /// Drops the notes of runs that are over: those that were noted, or known to the owner by
    /// `is_known`, in no call for `longest`. Goes into the record with the job's next change.
    /// Returns whether any was dropped.
    bool drop_leftovers(time_point now, milliseconds longest,
                        const std::function<bool(const leftover_run&)>& is_known);

    /// Reverts a placed task to waiting after a run that certainly never started, or that is
    /// certainly over with an unknown result. If the task has a copy, that becomes its run instead.
    void void_run(const task_ref& ref);
    /// The same for the run or the copy with this number. Returns whether the task had it.
    bool void_run(const task_ref& ref, std::uint32_t run);

    /// Records the end of a run. The end of an older run is ignored unless it is a success. A copy
    /// becomes the task's run if the run ends without success. Returns whether anything changed.
    bool end(const task_ref& ref, std::uint32_t run, run_end kind, const std::string& checkpoint,
             std::uint32_t attempts, std::int64_t now_ms);

    /// Adds a crash of the worker of the task's run. The job fails once the weights reach `limit`.
    /// Returns their sum.
    std::uint32_t record_crash(const task_ref& ref, std::uint32_t weight, std::uint32_t limit,
                               std::int64_t now_ms);

    /// Forgets the task's crashes, after a run that its worker survived.
    void clear_crashes(const task_ref& ref);

    /// Cancels an active job. Returns whether it was active.
    bool cancel(std::int64_t now_ms);

    /// Returns the state of the tasks as CBOR, without the header.
    std::vector<std::uint8_t> encode_state() const;

    /// Returns the job with the state that `encode_state` made.
    static tl::expected<job, decode_error> restore(job_header header,
                                                   gsl::span<const std::uint8_t> state);

private:
    /// Task, run and worker of a leftover run.
    using leftover_key = std::tuple<task_ref, std::uint32_t, std::string>;
    struct leftover_note {
        std::int64_t m_noted_ms{0};
        bool m_settled{false};
        /// By this owner's clock, which no record has: times of day may jump. None until the first
        /// call of `drop_leftovers`.
        std::optional<time_point> m_over_at;
    };

    explicit job(job_header header);

    task& find(const task_ref& ref) { return m_tasks.edit(ref); }
    /// Takes a run or copy from its placed task, which waits if it has no other.
    void take_run(const task_ref& ref, std::uint32_t run);
    /// Takes all runs from a placed task, and notes those of a speculative step as left over.
    void leave_runs(const task_ref& ref, std::int64_t now_ms);
    void note_copy_left(const task_ref& ref, std::int64_t now_ms);
    /// `run` is the number of the successful run.
    void finish_task(const task_ref& ref, std::uint32_t run, std::int64_t now_ms);
    void count_failure(const task_ref& ref);
    void fail_task(const task_ref& ref, std::uint32_t attempts, std::int64_t now_ms);
    /// Completes one task, of which the run with this number was successful or was not needed.
    void complete_task(const task_ref& ref, bool was_successful, std::uint32_t run,
                       std::int64_t now_ms);
    void finish(job_phase phase, std::int64_t now_ms);

    job_header m_header;
    job_phase m_phase{job_phase::active};
    std::int64_t m_ended_ms{0};
    std::int64_t m_placed_ms{0};
    bool m_begun{false};
    task_table m_tasks;
    std::map<leftover_key, leftover_note> m_leftovers;
};

} // namespace peridotrudder
