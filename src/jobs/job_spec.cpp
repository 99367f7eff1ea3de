#include "peridotrudder/jobs/job_spec.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::size_t max_payload_bytes = 4'000;
/// Limit of a job's estimated work, so that sums over all jobs do not overflow: 31 years of a core.
constexpr double max_work = 1e15;

bool is_negative(const resources& value)
{
    return value.m_cpu_millis < 0 || value.m_memory_mb < 0 || value.m_accelerators < 0;
}

spec_fault check_step(const step_spec& step, std::size_t index)
{
    if (step.m_count == 0) {
        return spec_fault::no_tasks;
    }
    if (is_negative(step.m_task_resources) || step.m_estimate.count() < 0) {
        return spec_fault::negative_resources;
    }
    const bool later =
        std::any_of(step.m_depends_on.begin(), step.m_depends_on.end(),
                    [index](std::uint32_t dependency) { return dependency >= index; });
    return later ? spec_fault::depends_on_later_step : spec_fault::none;
}

} // namespace

resources operator+(const resources& left, const resources& right)
{
    return {left.m_cpu_millis + right.m_cpu_millis, left.m_memory_mb + right.m_memory_mb,
            left.m_accelerators + right.m_accelerators};
}

resources operator-(const resources& left, const resources& right)
{
    return {left.m_cpu_millis - right.m_cpu_millis, left.m_memory_mb - right.m_memory_mb,
            left.m_accelerators - right.m_accelerators};
}

bool fits(const resources& required, const resources& available)
{
    return required.m_cpu_millis <= available.m_cpu_millis &&
           required.m_memory_mb <= available.m_memory_mb &&
           required.m_accelerators <= available.m_accelerators;
}

spec_fault check_spec(const job_spec& spec)
{
    if (spec.m_payload.size() > max_payload_bytes) {
        return spec_fault::payload_too_long;
    }
    if (spec.m_steps.empty()) {
        return spec_fault::no_steps;
    }
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < spec.m_steps.size(); ++index) {
        const auto fault = check_step(spec.m_steps[index], index);
        if (fault != spec_fault::none) {
            return fault;
        }
        tasks += spec.m_steps[index].m_count;
    }
    if (spec.m_recurrence) {
        const auto& schedule = *spec.m_recurrence;
        if (schedule.m_times == 0 || schedule.m_interval_ms < 0 || is_long_running(spec)) {
            return spec_fault::bad_recurrence;
        }
        if (tasks > max_job_tasks) {
            // The product would wrap.
            return spec_fault::too_many_tasks;
        }
        tasks *= schedule.m_times;
    }
    return tasks > max_job_tasks ? spec_fault::too_many_tasks : spec_fault::none;
}

milliseconds longest_chain(const job_spec& spec)
{
    milliseconds longest{0};
    std::vector<milliseconds> finish(spec.m_steps.size());
    for (std::size_t index = 0; index < spec.m_steps.size(); ++index) {
        const auto& step = spec.m_steps[index];
        milliseconds start{0};
        for (const auto dependency : step.m_depends_on) {
            start = std::max(start, finish[dependency]);
        }
        finish[index] = start + step.m_estimate;
        longest = std::max(longest, finish[index]);
    }
    return longest;
}

std::int64_t estimated_work(const job_spec& spec)
{
    double work = 0.0;
    for (const auto& step : spec.m_steps) {
        work += static_cast<double>(step.m_task_resources.m_cpu_millis) *
                static_cast<double>(step.m_estimate.count()) * step.m_count;
    }
    return static_cast<std::int64_t>(std::min(work, max_work));
}

bool is_long_running(const job_spec& spec)
{
    return std::any_of(spec.m_steps.begin(), spec.m_steps.end(),
                       [](const step_spec& step) { return step.m_long_running; });
}

} // namespace peridotrudder
