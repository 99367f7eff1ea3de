#pragma once

/// @file
/// The tasks of a job. Memory is taken only for those that differ from the others.

#include "peridotrudder/jobs/job_spec.hpp"
#include "peridotrudder/jobs/task.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <iterator>
#include <vector>

namespace peridotrudder {

/// The tasks of one step of an occurrence. They are kept in chunks, and a chunk only exists once
/// one of its tasks has changed.
class step_tasks {
public:
    explicit step_tasks(std::uint32_t count);

    std::uint32_t size() const { return m_count; }
    const task& operator[](std::uint32_t index) const;
    /// Returns the task for changes, but for its phase.
    task& edit(std::uint32_t index);
    void set_phase(std::uint32_t index, task_phase phase);
    /// Returns how many tasks are in a phase.
    std::uint32_t count(task_phase phase) const;
    void drop_checkpoints();
    /// Calls `visit(index, task)` for the tasks of all chunks that exist, which include all that
    /// have changed.
    template <typename Visitor>
    void visit_changed(Visitor visit) const
    {
        for (std::size_t chunk = 0; chunk < m_chunks.size(); ++chunk) {
            auto index = static_cast<std::uint32_t>(chunk * chunk_size);
            for (const auto& each : m_chunks[chunk]) {
                visit(index++, each);
            }
        }
    }

private:
    static constexpr std::uint32_t chunk_size = 32;
    static constexpr std::size_t phases = 4;

    std::uint32_t m_count;
    /// By phase.
    std::array<std::uint32_t, phases> m_counts{};
    /// Empty until a task changes, as is each chunk.
    std::vector<std::vector<task>> m_chunks;
};

/// A view of the tasks of a step.
class task_list {
public:
    class iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = task;
        using difference_type = std::ptrdiff_t;
        using pointer = const task*;
        using reference = const task&;

        iterator() = default;
        iterator(const task_list& list, std::uint32_t index) : m_list{&list}, m_index{index} {}

        reference operator*() const { return (*m_list)[m_index]; }
        pointer operator->() const { return &(*m_list)[m_index]; }
        iterator& operator++()
        {
            ++m_index;
            return *this;
        }
        iterator operator++(int)
        {
            const auto before = *this;
            ++m_index;
            return before;
        }
        difference_type operator-(const iterator& other) const
        {
            return difference_type{m_index} - difference_type{other.m_index};
        }
        bool operator==(const iterator& other) const { return m_index == other.m_index; }
        bool operator!=(const iterator& other) const { return m_index != other.m_index; }

    private:
        const task_list* m_list{nullptr};
        std::uint32_t m_index{0};
    };

    explicit task_list(const step_tasks& tasks) : m_tasks{&tasks}, m_size{tasks.size()} {}
    /// A list of `size` tasks that are all like `each`.
    task_list(const task& each, std::uint32_t size) : m_each{&each}, m_size{size} {}

    std::uint32_t size() const { return m_size; }
    const task& operator[](std::uint32_t index) const
    {
        return m_tasks == nullptr ? *m_each : (*m_tasks)[index];
    }
    /// The list must outlive its iterators.
    iterator begin() const { return {*this, 0}; }
    iterator end() const { return {*this, m_size}; }
    /// As `step_tasks::visit_changed`; tasks that are all alike are not visited.
    template <typename Visitor>
    void visit_changed(Visitor visit) const
    {
        if (m_tasks != nullptr) {
            m_tasks->visit_changed(visit);
        }
    }

private:
    const step_tasks* m_tasks{nullptr};
    const task* m_each{nullptr};
    std::uint32_t m_size{0};
};

/// The tasks of all occurrences of a job. An occurrence of which no task has changed takes no
/// memory, and one that is done takes some bytes.
///
/// A reference to a task is valid until its occurrence is done. Not thread-safe.
class task_table {
public:
    static task_table create(gsl::span<const step_spec> steps, std::uint32_t occurrences);

    std::uint32_t occurrences() const { return m_occurrence_count; }
    /// Returns the number of tasks of all occurrences.
    std::uint64_t size() const { return m_tasks_per_occurrence * m_occurrence_count; }
    bool has(const task_ref& ref) const;
    const task& at(const task_ref& ref) const
    {
        return list(ref.m_occurrence, ref.m_step)[ref.m_index];
    }
    task_list list(std::uint32_t occurrence, std::uint32_t step) const;
    /// Returns whether all tasks of the occurrence are done.
    bool is_done(std::uint32_t occurrence) const;

    /// Returns a task of an occurrence that is not done, for changes but for its phase.
    task& edit(const task_ref& ref);
    /// Sets the phase of a task of an occurrence that is not done. If it is done then, all else
    /// that is known of its tasks is forgotten.
    void set_phase(const task_ref& ref, task_phase phase);

    /// Returns how many tasks are in a phase: of a step, or of the job.
    std::uint32_t count(std::uint32_t occurrence, std::uint32_t step, task_phase phase) const;
    std::uint64_t count(task_phase phase) const
    {
        return m_counts[static_cast<std::size_t>(phase)];
    }
    /// Returns how many tasks of a step are not done.
    std::uint32_t open(std::uint32_t occurrence, std::uint32_t step) const;
    /// Returns the tasks that have a run.
    std::vector<task_ref> placed() const;
    /// Calls `visit(ref, task)` for all tasks of done occurrences, and for those of others that may
    /// have changed, in their order.
    template <typename Visitor>
    void visit_changed(Visitor visit) const
    {
        for (std::uint32_t occurrence = 0; occurrence < m_occurrences.size(); ++occurrence) {
            for (std::uint32_t step = 0; step < m_step_sizes.size(); ++step) {
                const auto visit_task = [&](std::uint32_t index, const task& each) {
                    visit(task_ref{occurrence, step, index}, each);
                };
                const auto tasks = list(occurrence, step);
                if (is_done(occurrence)) {
                    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                        visit_task(index, tasks[index]);
                    }
                    continue;
                }
                tasks.visit_changed(visit_task);
            }
        }
    }
    /// Frees the memory of all checkpoints.
    void drop_checkpoints();

private:
    struct occurrence_tasks {
        /// By step; empty until a task changes, and once all are done.
        std::vector<step_tasks> m_steps;
        bool m_done{false};
    };

    task_table() = default;
    /// Returns the occurrence with an entry for each of its steps.
    occurrence_tasks& materialize(std::uint32_t occurrence);

    std::vector<std::uint32_t> m_step_sizes;
    std::uint32_t m_occurrence_count{0};
    std::uint64_t m_tasks_per_occurrence{0};
    /// Up to the last one of which a task has changed.
    std::vector<occurrence_tasks> m_occurrences;
    /// Tasks of the job, by phase.
    std::array<std::uint64_t, 4> m_counts{};
};

} // namespace peridotrudder
