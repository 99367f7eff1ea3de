#include "peridotrudder/scheduling/crash_suspects.hpp"

namespace peridotrudder {

namespace {

/// Five make the limit. One alone sets no task on trial, as many tasks of a worker share a crash.
constexpr std::uint32_t late_weight = 12;
/// A trial that ends late is unlikely to be another's fault.
constexpr std::uint32_t late_trial_weight = 15;
constexpr std::uint32_t recorded_weight = 15;
constexpr std::uint32_t unanswered_weight = 16;
constexpr std::uint32_t confirmed_weight = 21;
/// With one confirmed crash before, but not with an unanswered start, this makes the limit: two
/// workers have certainly crashed then.
constexpr std::uint32_t trial_weight = suspicion_limit - confirmed_weight;

bool is_confirmed(const worker_run& run)
{
    return run.m_confirmed_at != time_point{};
}

/// Judges a run of a predecessor. A long-running one may have begun long ago: if its worker had
/// survived the start, its task would not be suspected any more.
crash_evidence judge_recorded(const worker_run& run, bool suspected)
{
    return suspected || !run.m_long_running ? crash_evidence::recorded : crash_evidence::none;
}

crash_evidence judge_confirmed(const worker_run& run, bool suspected, time_point last_heard_at)
{
    // Nothing is known of a predecessor's run before it was listed.
    const auto begun_at = run.m_ordered_at.value_or(run.m_confirmed_at);
    if (last_heard_at <= begun_at + crash_window) {
        return run.m_ordered_at ? crash_evidence::confirmed : judge_recorded(run, suspected);
    }
    // A long-running task is lost with its worker in the course of time without any fault.
    return !run.m_long_running && last_heard_at <= begun_at + late_crash_window
               ? crash_evidence::late
               : crash_evidence::none;
}

crash_evidence judge_unanswered(const worker_run& run, time_point last_heard_at)
{
    const auto end_of_window = *run.m_ordered_at + crash_window;
    if (last_heard_at > end_of_window) {
        // The worker was alive without the run, which it may start late.
        return crash_evidence::none;
    }
    // A crash right after a start breaks its channel, so a start that timed out may not have begun.
    const bool timed_out = run.m_unanswered_since && *run.m_unanswered_since > end_of_window;
    return timed_out ? crash_evidence::recorded : crash_evidence::unanswered;
}

} // namespace

crash_evidence judge_crash(const worker_run& run, bool suspected, time_point last_heard_at)
{
    // A crash breaks the channel of a start, so a start that still has no outcome did not arrive.
    if (run.m_phase == run_phase::recording || run.m_phase == run_phase::ordered) {
        return crash_evidence::none;
    }
    if (run.m_former_heard_at) {
        // The answers since are those of another incarnation.
        last_heard_at = *run.m_former_heard_at;
    }
    if (!run.m_ordered_at && !is_confirmed(run)) {
        return judge_recorded(run, suspected);
    }
    return is_confirmed(run) ? judge_confirmed(run, suspected, last_heard_at)
                             : judge_unanswered(run, last_heard_at);
}

crash_evidence without_proof_of_crash(crash_evidence evidence, bool suspected)
{
    switch (evidence) {
    case crash_evidence::unanswered:
    case crash_evidence::confirmed:
        return crash_evidence::recorded;
    case crash_evidence::late:
    case crash_evidence::recorded:
        return suspected ? evidence : crash_evidence::none;
    case crash_evidence::none:
        break;
    }
    return crash_evidence::none;
}

std::uint32_t weight_of(crash_evidence evidence, bool on_trial)
{
    switch (evidence) {
    case crash_evidence::none:
        return 0;
    case crash_evidence::late:
        return on_trial ? late_trial_weight : late_weight;
    case crash_evidence::recorded:
        return recorded_weight;
    case crash_evidence::unanswered:
        return unanswered_weight;
    case crash_evidence::confirmed:
        return on_trial ? trial_weight : confirmed_weight;
    }
    return 0;
}

bool has_survived(const worker_run& run, time_point last_heard_at)
{
    const auto begun_at = run.m_ordered_at.value_or(run.m_confirmed_at);
    return run.m_phase == run_phase::running && !run.m_former_heard_at &&
           last_heard_at > begun_at + crash_window;
}

step_suspects count_suspects(const job& source, std::uint32_t occurrence, std::uint32_t step,
                             const trial_check& is_trial)
{
    step_suspects suspects;
    source.tasks(occurrence, step).visit_changed([&](std::uint32_t index, const task& entry) {
        const task_ref ref{occurrence, step, index};
        const bool waits = entry.m_phase == task_phase::waiting;
        const bool placed = entry.m_phase == task_phase::placed;
        if (!is_on_trial(entry) || !(waits || (placed && is_trial(ref, entry)))) {
            return;
        }
        suspects.m_waiting += waits ? 1 : 0;
        suspects.m_on_trial += waits ? 0 : 1;
        suspects.m_strong = suspects.m_strong || entry.m_suspicion >= strong_suspicion;
    });
    return suspects;
}

bool may_start(const step_spec& step, const task& waiting, const step_suspects& suspects)
{
    if (is_on_trial(waiting)) {
        return suspects.m_on_trial < max_trials;
    }
    // Tasks of a step are alike, so the others may be at fault too. Those of long-running steps are
    // not held back: each is missed while it does not run.
    return step.m_long_running || !suspects.m_strong;
}

} // namespace peridotrudder
