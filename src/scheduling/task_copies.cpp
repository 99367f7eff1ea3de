#include "peridotrudder/scheduling/task_copies.hpp"

#include <algorithm>
#include <cmath>

namespace peridotrudder {

namespace {

/// Times an unlearned time, which may be half of the true one for a task that takes a third longer
/// than the others, with a margin of a half.
constexpr int unlearned_factor = 4;
/// Share of a fresh run's time that a copy must save: tasks of one step differ by a third, and
/// progress is reported in whole percent.
constexpr double saved_share = 0.5;
constexpr std::int64_t percent_per_whole = 100;

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds{std::llround(static_cast<double>(time.count()) * factor)};
}

} // namespace

milliseconds cautious_time(milliseconds expected, std::size_t learned_runs)
{
    return learned_runs == 0 ? expected * unlearned_factor : expected;
}

bool has_copies(const job_spec& spec, std::uint32_t step)
{
    const auto& candidate = spec.m_steps[step];
    return candidate.m_speculative && !candidate.m_gang && !candidate.m_long_running &&
           !candidate.m_best_effort && !spec.m_recurrence;
}

bool may_be_copied(const job& source, const task_ref& ref, std::uint32_t attempts)
{
    const auto& entry = source.at(ref);
    const bool on_first_run = entry.m_phase == task_phase::placed && entry.m_newest_run == 1;
    // The task may be the cause of its workers' crashes.
    return on_first_run && entry.m_suspicion == 0 && entry.m_failures + 1 < attempts &&
           source.phase() == job_phase::active && has_copies(source.spec(), ref.m_step);
}

milliseconds time_after_step(const job_spec& spec, std::uint32_t step)
{
    milliseconds longest{0};
    std::vector<std::optional<milliseconds>> ends(spec.m_steps.size());
    ends[step] = milliseconds{0};
    // A step depends on earlier ones only.
    for (auto index = step + 1; index < spec.m_steps.size(); ++index) {
        for (const auto dependency : spec.m_steps[index].m_depends_on) {
            if (ends[dependency]) {
                const auto end = *ends[dependency] + spec.m_steps[index].m_estimate;
                ends[index] = std::max(ends[index].value_or(end), end);
            }
        }
        longest = std::max(longest, ends[index].value_or(milliseconds{0}));
    }
    return longest;
}

bool is_worth_a_copy(const late_run& run, double slowness)
{
    const auto fresh = scaled(run.m_usual, slowness);
    const auto copy_ends_in = expected_start_time + fresh;
    const bool saves_enough = run.m_rest > copy_ends_in + scaled(fresh, saved_share);
    return saves_enough && run.m_rest > run.m_until_objective &&
           copy_ends_in <= run.m_until_useless;
}

std::optional<std::size_t> choose_copy_place(const late_run& run,
                                             gsl::span<const copy_place> places)
{
    std::optional<std::size_t> best;
    const auto is_better = [&places](const copy_place& place, std::size_t than) {
        const auto& other = places[than];
        return place.m_slowness < other.m_slowness ||
               (place.m_slowness == other.m_slowness &&
                place.m_room_cpu_millis < other.m_room_cpu_millis);
    };
    for (std::size_t index = 0; index < places.size(); ++index) {
        const auto& place = places[index];
        const bool usable = place.m_worker != run.m_worker &&
                            place.m_room_cpu_millis >= run.m_cpu_millis &&
                            is_worth_a_copy(run, place.m_slowness);
        if (usable && (!best || is_better(place, *best))) {
            best = index;
        }
    }
    return best;
}

copy_budget copy_budget::create(std::int64_t capacity, std::int64_t used, std::uint32_t percent)
{
    copy_budget budget;
    budget.m_left = capacity * std::int64_t{percent} / percent_per_whole - used;
    return budget;
}

bool copy_budget::take(std::int64_t cpu_millis)
{
    if (cpu_millis > m_left) {
        return false;
    }
    m_left -= cpu_millis;
    return true;
}

void waiting_sizes::add(const resources& size, const std::string& label)
{
    const auto is_covered = [&](const waiting_size& known) {
        return fits(known.m_size, size) && (known.m_label.empty() || known.m_label == label);
    };
    if (std::none_of(m_sizes.begin(), m_sizes.end(), is_covered)) {
        m_sizes.push_back({size, label});
    }
}

bool waiting_sizes::may_use(const resources& room, const std::vector<std::string>& labels) const
{
    return std::any_of(m_sizes.begin(), m_sizes.end(), [&](const waiting_size& waiting) {
        const bool has_label =
            waiting.m_label.empty() ||
            std::find(labels.begin(), labels.end(), waiting.m_label) != labels.end();
        return has_label && fits(waiting.m_size, room);
    });
}

} // namespace peridotrudder
