#include "peridotrudder/scheduling/pacing.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::uint32_t full_percent = 100;
/// Above this fraction of its target, a tail latency is about to exceed it.
constexpr double high_load = 0.85;
constexpr double low_load = 0.6;
constexpr std::uint32_t step_up_percent = 10;
/// Below this percentage a task is paused instead.
constexpr std::uint32_t min_pace_percent = 12;
/// Measurements cover the last half second, and an order takes a tenth of a second to take effect.
constexpr milliseconds reaction_time{600};
constexpr milliseconds repeat_time{2'000};

/// Returns the highest ratio of tail latency to target, or nothing if no run has a latency target.
std::optional<double> worst_load(const worker_session& session)
{
    std::optional<double> worst;
    for (const auto& [key, run] : session.runs()) {
        if (run.m_latency_target.count() > 0 && run.m_phase == run_phase::running) {
            const auto load =
                static_cast<double>(run.m_load) / static_cast<double>(run.m_latency_target.count());
            worst = std::max(worst.value_or(0.0), load);
        }
    }
    return worst;
}

} // namespace

std::uint32_t next_pace(std::uint32_t current, double load)
{
    if (load > high_load) {
        const auto half = current / 2;
        return half < min_pace_percent ? 0 : half;
    }
    if (load < low_load) {
        return std::min(full_percent, current + step_up_percent);
    }
    return current;
}

std::vector<pace_change> decide_paces(const worker_session& session, time_point now)
{
    const auto worst = worst_load(session);
    std::vector<pace_change> changes;
    for (const auto& [key, run] : session.runs()) {
        if (!run.m_best_effort || run.m_phase != run_phase::running || run.m_stopping ||
            now - run.m_paced_at < reaction_time) {
            continue;
        }
        const auto pace = worst ? next_pace(run.m_pace, *worst) : full_percent;
        const bool repeats = pace < full_percent && now - run.m_paced_at >= repeat_time;
        if (pace != run.m_pace || !run.m_pace_known || repeats) {
            changes.push_back({key, pace});
        }
    }
    return changes;
}

} // namespace peridotrudder
