#include "peridotrudder/jobs/task_table.hpp"

#include <algorithm>
#include <numeric>

namespace peridotrudder {

namespace {

constexpr std::size_t index_of(task_phase phase)
{
    return static_cast<std::size_t>(phase);
}

/// Returns a task as it was created.
const task& new_task()
{
    static const task created;
    return created;
}

/// Returns what is kept of a task of an occurrence that is done: no run of it is of interest.
const task& done_task()
{
    static const task done = [] {
        task made;
        made.m_phase = task_phase::done;
        made.m_run = 1;
        made.m_newest_run = 1;
        return made;
    }();
    return done;
}

} // namespace

step_tasks::step_tasks(std::uint32_t count) : m_count{count}
{
    m_counts[index_of(task_phase::waiting)] = count;
}

const task& step_tasks::operator[](std::uint32_t index) const
{
    const auto chunk = index / chunk_size;
    return chunk < m_chunks.size() && !m_chunks[chunk].empty() ? m_chunks[chunk][index % chunk_size]
                                                               : new_task();
}

task& step_tasks::edit(std::uint32_t index)
{
    const auto chunk = index / chunk_size;
    if (m_chunks.empty()) {
        m_chunks.resize((m_count + chunk_size - 1) / chunk_size);
    }
    auto& tasks = m_chunks.at(chunk);
    if (tasks.empty()) {
        tasks.resize(std::min(chunk_size, m_count - chunk * chunk_size));
    }
    return tasks.at(index % chunk_size);
}

void step_tasks::set_phase(std::uint32_t index, task_phase phase)
{
    auto& changed = edit(index);
    --m_counts[index_of(changed.m_phase)];
    ++m_counts[index_of(phase)];
    changed.m_phase = phase;
}

std::uint32_t step_tasks::count(task_phase phase) const
{
    return m_counts[index_of(phase)];
}

void step_tasks::drop_checkpoints()
{
    for (auto& chunk : m_chunks) {
        for (auto& each : chunk) {
            std::string{}.swap(each.m_checkpoint);
        }
    }
}

task_table task_table::create(gsl::span<const step_spec> steps, std::uint32_t occurrences)
{
    task_table table;
    table.m_occurrence_count = occurrences;
    table.m_step_sizes.reserve(steps.size());
    for (const auto& step : steps) {
        table.m_step_sizes.push_back(step.m_count);
        table.m_tasks_per_occurrence += step.m_count;
    }
    table.m_counts[index_of(task_phase::waiting)] = table.size();
    return table;
}

bool task_table::has(const task_ref& ref) const
{
    return ref.m_occurrence < m_occurrence_count && ref.m_step < m_step_sizes.size() &&
           ref.m_index < m_step_sizes[ref.m_step];
}

task_list task_table::list(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto size = m_step_sizes.at(step);
    if (occurrence >= m_occurrences.size()) {
        return task_list{new_task(), size};
    }
    const auto& known = m_occurrences[occurrence];
    if (known.m_steps.empty()) {
        return task_list{known.m_done ? done_task() : new_task(), size};
    }
    return task_list{known.m_steps[step]};
}

bool task_table::is_done(std::uint32_t occurrence) const
{
    return occurrence < m_occurrences.size() && m_occurrences[occurrence].m_done;
}

task_table::occurrence_tasks& task_table::materialize(std::uint32_t occurrence)
{
    if (occurrence >= m_occurrences.size()) {
        m_occurrences.resize(occurrence + 1);
    }
    auto& known = m_occurrences[occurrence];
    if (known.m_steps.empty()) {
        known.m_steps.reserve(m_step_sizes.size());
        for (const auto size : m_step_sizes) {
            known.m_steps.emplace_back(size);
        }
    }
    return known;
}

task& task_table::edit(const task_ref& ref)
{
    return materialize(ref.m_occurrence).m_steps.at(ref.m_step).edit(ref.m_index);
}

void task_table::set_phase(const task_ref& ref, task_phase phase)
{
    auto& known = materialize(ref.m_occurrence);
    auto& step = known.m_steps.at(ref.m_step);
    --m_counts[index_of(step[ref.m_index].m_phase)];
    ++m_counts[index_of(phase)];
    step.set_phase(ref.m_index, phase);
    if (step.count(task_phase::done) < step.size()) {
        return;
    }
    known.m_done =
        std::all_of(known.m_steps.begin(), known.m_steps.end(), [](const step_tasks& each) {
            return each.count(task_phase::done) == each.size();
        });
    if (known.m_done) {
        std::vector<step_tasks>{}.swap(known.m_steps);
    }
}

std::uint32_t task_table::count(std::uint32_t occurrence, std::uint32_t step,
                                task_phase phase) const
{
    if (occurrence < m_occurrences.size() && !m_occurrences[occurrence].m_steps.empty()) {
        return m_occurrences[occurrence].m_steps.at(step).count(phase);
    }
    const auto common = is_done(occurrence) ? task_phase::done : task_phase::waiting;
    return phase == common ? m_step_sizes.at(step) : 0;
}

std::uint32_t task_table::open(std::uint32_t occurrence, std::uint32_t step) const
{
    return m_step_sizes.at(step) - count(occurrence, step, task_phase::done);
}

std::vector<task_ref> task_table::placed() const
{
    std::vector<task_ref> refs;
    refs.reserve(count(task_phase::placed));
    for (std::uint32_t occurrence = 0;
         occurrence < m_occurrences.size() && refs.size() < count(task_phase::placed);
         ++occurrence) {
        for (std::uint32_t step = 0; step < m_step_sizes.size(); ++step) {
            if (count(occurrence, step, task_phase::placed) == 0) {
                continue;
            }
            list(occurrence, step).visit_changed([&](std::uint32_t index, const task& each) {
                if (each.m_phase == task_phase::placed) {
                    refs.push_back({occurrence, step, index});
                }
            });
        }
    }
    return refs;
}

void task_table::drop_checkpoints()
{
    for (auto& occurrence : m_occurrences) {
        for (auto& step : occurrence.m_steps) {
            step.drop_checkpoints();
        }
    }
}

} // namespace peridotrudder
