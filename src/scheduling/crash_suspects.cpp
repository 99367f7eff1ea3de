#include "peridotrudder/scheduling/crash_suspects.hpp"

namespace peridotrudder {

namespace {

bool is_confirmed(const worker_run& run)
{
    return run.m_confirmed_at != time_point{};
}

/// Returns whether the start ended by its timeout. A crash right after a start ends it at once.
bool has_timed_out(const worker_run& run)
{
    return run.m_unanswered_since && *run.m_unanswered_since > *run.m_ordered_at + crash_window;
}

} // namespace

bool is_suspect(const worker_run& run, std::uint32_t crashes, time_point last_heard_at)
{
    // A crash breaks the channel of a start, so a start that still has no outcome did not arrive.
    if (run.m_phase == run_phase::recording || run.m_phase == run_phase::ordered) {
        return false;
    }
    if (has_survived(run, last_heard_at)) {
        return false;
    }
    if (!run.m_ordered_at) {
        // A predecessor started the run. A long-running one perhaps long ago: if its worker had
        // survived the start, its task would have no crashes any more.
        return crashes > 0 || !run.m_long_running;
    }
    // A start that the worker may carry out late has not begun so far.
    const bool has_begun = is_confirmed(run) || !has_timed_out(run);
    return has_begun && last_heard_at <= *run.m_ordered_at + crash_window;
}

bool has_survived(const worker_run& run, time_point last_heard_at)
{
    const auto begun_at = run.m_ordered_at.value_or(run.m_confirmed_at);
    return run.m_phase == run_phase::running && last_heard_at > begun_at + crash_window;
}

step_suspects count_suspects(const job& source, std::uint32_t occurrence, std::uint32_t step)
{
    step_suspects suspects;
    for (const auto& entry : source.tasks(occurrence, step)) {
        if (entry.m_crashes > 0) {
            suspects.m_waiting += entry.m_phase == task_phase::waiting ? 1 : 0;
            suspects.m_on_trial += entry.m_phase == task_phase::placed ? 1 : 0;
        }
    }
    return suspects;
}

bool may_start(const step_spec& step, const task& waiting, const step_suspects& suspects)
{
    if (waiting.m_crashes > 0) {
        return suspects.m_on_trial < max_trials;
    }
    // Tasks of a step are alike, so the others may be at fault too. Those of long-running steps are
    // not held back: each is missed while it does not run.
    return step.m_long_running || suspects.m_waiting + suspects.m_on_trial == 0;
}

} // namespace peridotrudder
