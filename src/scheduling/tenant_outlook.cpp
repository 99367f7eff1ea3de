#include "peridotrudder/scheduling/tenant_outlook.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace peridotrudder {

namespace {

/// Classes for each doubling of the length: a class is about a fifth wide.
constexpr double classes_per_octave = 4.0;
/// Chains of 2^18 ms, four minutes, and more are in one class.
constexpr double longest_octave = 18.0;

std::size_t class_of(milliseconds chain)
{
    const auto octave = std::log2(static_cast<double>(std::max<std::int64_t>(chain.count(), 1)));
    return static_cast<std::size_t>(std::min(octave, longest_octave) * classes_per_octave);
}

} // namespace

void work_by_chain::add(milliseconds chain, double work)
{
    const auto position = class_of(chain);
    if (position >= m_work.size()) {
        m_work.resize(position + 1);
    }
    m_work[position] += work;
}

double work_by_chain::total() const
{
    return std::accumulate(m_work.begin(), m_work.end(), 0.0);
}

double work_by_chain::before(milliseconds chain) const
{
    const auto position = class_of(chain);
    if (position >= m_work.size()) {
        return total();
    }
    const auto same = m_work.begin() + static_cast<std::ptrdiff_t>(position);
    return std::accumulate(m_work.begin(), same, *same / 2.0);
}

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
