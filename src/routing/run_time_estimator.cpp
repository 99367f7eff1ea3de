#include "peridotrudder/routing/run_time_estimator.hpp"

namespace peridotrudder {

namespace {

constexpr double newest_sample_weight = 0.1;
constexpr const char* shared_route = "*";

} // namespace

std::string run_time_estimator::key_for(std::string_view route) const
{
    std::string name{route};
    if (m_mean_ms.size() >= max_routes && m_mean_ms.count(name) == 0) {
        return shared_route;
    }
    return name;
}

void run_time_estimator::learn(std::string_view route, milliseconds run_time)
{
    const auto measured = static_cast<double>(run_time.count());
    const auto [known, inserted] = m_mean_ms.emplace(key_for(route), measured);
    if (!inserted) {
        known->second += (measured - known->second) * newest_sample_weight;
    }
}

milliseconds run_time_estimator::expected(std::string_view route, milliseconds declared) const
{
    const auto known = m_mean_ms.find(key_for(route));
    if (known == m_mean_ms.end()) {
        return declared;
    }
    return milliseconds{static_cast<std::int64_t>(known->second)};
}

} // namespace peridotrudder
