#include "peridotrudder/scheduling/tenant_outlook.hpp"

namespace peridotrudder {

work_amount& work_amount::operator+=(const work_amount& other)
{
    m_cpu += other.m_cpu;
    m_memory += other.m_memory;
    m_accelerators += other.m_accelerators;
    return *this;
}

work_amount operator+(work_amount left, const work_amount& right)
{
    left += right;
    return left;
}

work_amount work_of(const step_spec& step, double tasks)
{
    const auto task_ms = static_cast<double>(step.m_estimate.count()) * tasks;
    const auto& each = step.m_task_resources;
    return {static_cast<double>(each.m_cpu_millis) * task_ms,
            static_cast<double>(each.m_memory_mb) * task_ms,
            static_cast<double>(each.m_accelerators) * task_ms};
}

work_amount work_of(const job_spec& spec)
{
    work_amount total;
    for (const auto& step : spec.m_steps) {
        total += work_of(step, step.m_count);
    }
    return total;
}

} // namespace peridotrudder
