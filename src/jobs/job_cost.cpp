#include "peridotrudder/jobs/job_cost.hpp"

#include <string>

namespace peridotrudder {

namespace {

/// The job's entries in the tables of its owner, and its queue's configuration.
constexpr std::size_t bytes_of_any_job = 2'048;
/// What the owner keeps for a step beside its specification, and the allocator's own bytes.
constexpr std::size_t bytes_beside_a_step = 64;

std::size_t cost_of(const step_spec& step)
{
    return sizeof(step_spec) + bytes_beside_a_step + step.m_required_label.size() +
           step.m_data_rack.size() + step.m_image.size() +
           step.m_depends_on.size() * sizeof(step.m_depends_on.front());
}

} // namespace

std::size_t waiting_cost(const job_spec& spec)
{
    auto bytes = bytes_of_any_job + spec.m_payload.size();
    for (const auto& step : spec.m_steps) {
        bytes += cost_of(step);
    }
    return bytes;
}

} // namespace peridotrudder
