#include "peridotrudder/scheduling/tenant_outlook.hpp"

namespace peridotrudder {

work_amount& work_amount::operator+=(const work_amount& other)
{
    m_cpu += other.m_cpu;
    m_memory += other.m_memory;
    m_accelerators += other.m_accelerators;
    return *this;
}

work_amount& work_amount::operator-=(const work_amount& other)
{
    m_cpu -= other.m_cpu;
    m_memory -= other.m_memory;
    m_accelerators -= other.m_accelerators;
    return *this;
}

work_amount operator+(work_amount left, const work_amount& right)
{
    left += right;
    return left;
}

work_amount resources_of(const step_spec& step, double tasks)
{
    const auto& each = step.m_task_resources;
    return {static_cast<double>(each.m_cpu_millis) * tasks,
            static_cast<double>(each.m_memory_mb) * tasks,
            static_cast<double>(each.m_accelerators) * tasks};
}

work_amount work_of(const step_spec& step, double tasks)
{
    return resources_of(step, tasks * static_cast<double>(step.m_estimate.count()));
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
