#include "peridotrudder/scheduling/pacing.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

constexpr std::uint32_t whole = 100;
/// Above this share of its target a tail latency is about to be over it.
constexpr double high_load = 0.85;
constexpr double low_load = 0.6;
constexpr std::uint32_t step_up = 10;
/// Slower than this a task had better stand still.
constexpr std::uint32_t least_pace = 12;
/// Figures are of the last half second, and an order takes a tenth to work.
constexpr milliseconds reaction_time{600};
constexpr milliseconds repeat_time{2'000};

/// Returns the highest tail latency by its target; nothing if no task there serves users.
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
        return half < least_pace ? 0 : half;
    }
    if (load < low_load) {
        return std::min(whole, current + step_up);
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
        const auto pace = worst ? next_pace(run.m_pace, *worst) : whole;
        const bool repeats = pace < whole && now - run.m_paced_at >= repeat_time;
        if (pace != run.m_pace || !run.m_pace_known || repeats) {
            changes.push_back({key, pace});
        }
    }
    return changes;
}

} // namespace peridotrudder
