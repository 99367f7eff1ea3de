#include "peridotrudder/jobs/job.hpp"

#include "jobs/job_record.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace peridotrudder {

using namespace job_record;

namespace {

/// Pause between records of a run that a worker lists again and again.
constexpr std::int64_t leftover_repeat_ms = 5'000;

} // namespace

job job::copy_for_placement() const
{
    auto copy = *this;
    std::string{}.swap(copy.m_header.m_spec.m_payload);
    copy.m_leftovers.clear();
    copy.m_tasks.drop_checkpoints();
    return copy;
}

job job::create(job_header header)
{
    return job{std::move(header)};
}

job::job(job_header header)
    : m_header{std::move(header)},
      m_tasks{task_table::create(spec().m_steps,
                                 spec().m_recurrence ? spec().m_recurrence->m_times : 1)}
{
}

std::int64_t job::due_ms(std::uint32_t occurrence) const
{
    const auto& times = spec().m_recurrence;
    return times ? times->m_first_ms + std::int64_t{occurrence} * times->m_interval_ms
                 : m_header.m_accepted_ms;
}

bool job::unblocked(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto& dependencies = spec().m_steps.at(step).m_depends_on;
    return std::all_of(dependencies.begin(), dependencies.end(), [&](std::uint32_t dependency) {
        return m_tasks.open(occurrence, dependency) == 0;
    });
}

std::uint32_t job::failures(const task_ref& ref) const
{
    if (!spec().m_steps[ref.m_step].m_gang) {
        return at(ref).m_failures;
    }
    const auto members = tasks(ref.m_occurrence, ref.m_step);
    return std::accumulate(
        members.begin(), members.end(), std::uint32_t{0},
        [](std::uint32_t sum, const task& member) { return sum + member.m_failures; });
}

std::uint32_t job::place(const task_ref& ref, const worker_instance& worker)
{
    auto& placed = find(ref);
    m_tasks.set_phase(ref, task_phase::placed);
    placed.m_placed_on = worker;
    placed.m_start_settled = false;
    placed.m_run = std::max(placed.m_run, placed.m_newest_run) + 1;
    placed.m_newest_run = placed.m_run;
    return placed.m_run;
}

std::uint32_t job::place_copy(const task_ref& ref, const worker_instance& worker)
{
    auto& placed = find(ref);
    placed.m_newest_run = std::max(placed.m_run, placed.m_newest_run) + 1;
    placed.m_copy = task_copy{placed.m_newest_run, worker};
    return placed.m_newest_run;
}

std::uint32_t job::place_gang(std::uint32_t occurrence, std::uint32_t step,
                              gsl::span<const worker_instance> workers)
{
    const auto members = tasks(occurrence, step);
    std::uint32_t run = 0;
    for (const auto& member : members) {
        run = std::max(run, member.m_run);
    }
    for (std::uint32_t index = 0; index < members.size(); ++index) {
        const task_ref ref{occurrence, step, index};
        find(ref).m_run = run;
        place(ref, workers[index]);
    }
    return run + 1;
}

void job::settle_start(const task_ref& ref, std::uint32_t run)
{
    if (at(ref).m_phase != task_phase::placed) {
        m_begun = m_begun || at(ref).m_run == run;
        return;
    }
    auto& entry = find(ref);
    entry.m_start_settled = entry.m_start_settled || entry.m_run == run;
    if (entry.is_copy(run)) {
        entry.m_copy->m_start_settled = true;
    }
    m_begun = m_begun || entry.m_start_settled;
}

bool job::note_leftover(leftover_run leftover)
{
    if (!m_header.m_tenant) {
        return false;
    }
    leftover_key key{leftover.m_task, leftover.m_run, std::move(leftover.m_worker)};
    const leftover_note note{leftover.m_noted_ms, leftover.m_settled, std::nullopt};
    // The tasks of a gang are noted in their order, mostly.
    auto position = m_leftovers.end();
    if (!m_leftovers.empty() && !(std::prev(position)->first < key)) {
        position = m_leftovers.lower_bound(key);
    }
    if (position == m_leftovers.end() || position->first != key) {
        m_leftovers.emplace_hint(position, std::move(key), note);
        return true;
    }
    auto& known = position->second;
    // The run is still there.
    known.m_over_at.reset();
    if (known.m_settled == note.m_settled &&
        note.m_noted_ms - known.m_noted_ms < leftover_repeat_ms) {
        return false;
    }
    known = note;
    return true;
}

std::vector<leftover_run> job::leftovers() const
{
    std::vector<leftover_run> listed;
    listed.reserve(m_leftovers.size());
    for (const auto& [key, note] : m_leftovers) {
        const auto& [ref, run, worker] = key;
        listed.push_back({ref, run, worker, note.m_noted_ms, note.m_settled});
    }
    return listed;
}

bool job::drop_leftovers(time_point now, milliseconds longest,
                         const std::function<bool(const leftover_run&)>& is_known)
{
    const auto before = m_leftovers.size();
    for (auto entry = m_leftovers.begin(); entry != m_leftovers.end();) {
        const auto& [ref, run, worker] = entry->first;
        auto& note = entry->second;
        const bool known = is_known({ref, run, worker, note.m_noted_ms, note.m_settled});
        if (known || !note.m_over_at) {
            note.m_over_at = now + longest;
        }
        entry = *note.m_over_at <= now ? m_leftovers.erase(entry) : std::next(entry);
    }
    return m_leftovers.size() < before;
}

void job::void_run(const task_ref& ref)
{
    void_run(ref, at(ref).m_run);
}

bool job::void_run(const task_ref& ref, std::uint32_t run)
{
    const auto& entry = at(ref);
    if (entry.m_phase != task_phase::placed || !entry.has_run(run)) {
        return false;
    }
    take_run(ref, run);
    return true;
}

void job::take_run(const task_ref& ref, std::uint32_t run)
{
    auto& entry = find(ref);
    const auto copy = std::exchange(entry.m_copy, std::nullopt);
    if (!copy) {
        entry.m_placed_on = {};
        m_tasks.set_phase(ref, task_phase::waiting);
    }
    else if (copy->m_run != run) {
        entry.m_run = copy->m_run;
        entry.m_placed_on = copy->m_placed_on;
        entry.m_start_settled = copy->m_start_settled;
    }
}

void job::note_copy_left(const task_ref& ref, std::int64_t now_ms)
{
    if (const auto copy = std::exchange(find(ref).m_copy, std::nullopt)) {
        note_leftover(
            {ref, copy->m_run, copy->m_placed_on.m_worker, now_ms, copy->m_start_settled});
    }
}

void job::leave_runs(const task_ref& ref, std::int64_t now_ms)
{
    const auto& entry = at(ref);
    if (entry.m_phase != task_phase::placed) {
        return;
    }
    note_copy_left(ref, now_ms);
    if (spec().m_steps[ref.m_step].m_speculative) {
        note_leftover(
            {ref, entry.m_run, entry.m_placed_on.m_worker, now_ms, entry.m_start_settled});
    }
    take_run(ref, entry.m_run);
}

bool job::end(const task_ref& ref, std::uint32_t run, run_end kind, const std::string& checkpoint,
              std::uint32_t attempts, std::int64_t now_ms)
{
    const auto phase = at(ref).m_phase;
    if (phase == task_phase::done || phase == task_phase::failed) {
        return false;
    }
    // A worker lists only the ends of runs that it has started.
    m_begun = true;
    const bool long_running = spec().m_steps[ref.m_step].m_long_running;
    if (kind == run_end::done && !long_running) {
        finish_task(ref, run, now_ms);
        return true;
    }
    if (!void_run(ref, run)) {
        return false;
    }
    if (!checkpoint.empty()) {
        find(ref).m_checkpoint = checkpoint;
    }
    if (kind == run_end::failed && !long_running) {
        count_failure(ref);
        fail_task(ref, attempts, now_ms);
    }
    return true;
}

void job::finish_task(const task_ref& ref, std::uint32_t run, std::int64_t now_ms)
{
    const bool completes_gang = spec().m_steps[ref.m_step].m_gang;
    if (!completes_gang) {
        complete_task(ref, true, run, now_ms);
    }
    // The success of one member completes the whole gang.
    const auto members = completes_gang ? spec().m_steps[ref.m_step].m_count : 0;
    for (std::uint32_t index = 0; index < members; ++index) {
        complete_task({ref.m_occurrence, ref.m_step, index}, index == ref.m_index, run, now_ms);
    }
    if (unfinished_tasks() == 0) {
        finish(job_phase::completed, now_ms);
    }
}

void job::complete_task(const task_ref& ref, bool was_successful, std::uint32_t run,
                        std::int64_t now_ms)
{
    if (at(ref).m_phase == task_phase::done) {
        return;
    }
    auto& member = find(ref);
    if (member.m_phase == task_phase::placed) {
        if (member.is_copy(run)) {
            member.m_copy.reset();
        }
        note_copy_left(ref, now_ms);
        if (!was_successful || member.m_run != run) {
            note_leftover(
                {ref, member.m_run, member.m_placed_on.m_worker, now_ms, member.m_start_settled});
        }
    }
    member.m_placed_on = {};
    member.m_checkpoint.clear();
    m_tasks.set_phase(ref, task_phase::done);
}

void job::count_failure(const task_ref& ref)
{
    auto& failed = find(ref);
    if (spec().m_steps[ref.m_step].m_gang) {
        // Any number of members, on any workers, may list that the same run failed.
        const auto members = tasks(ref.m_occurrence, ref.m_step);
        const bool is_counted =
            std::any_of(members.begin(), members.end(), [&failed](const task& member) {
                return member.m_counted_gang_run == failed.m_run;
            });
        if (is_counted) {
            return;
        }
        failed.m_counted_gang_run = failed.m_run;
    }
    ++failed.m_failures;
}

void job::fail_task(const task_ref& ref, std::uint32_t attempts, std::int64_t now_ms)
{
    if (failures(ref) >= attempts) {
        leave_runs(ref, now_ms);
        m_tasks.set_phase(ref, task_phase::failed);
        finish(job_phase::failed, now_ms);
    }
}

std::uint32_t job::record_crash(const task_ref& ref, std::uint32_t weight, std::uint32_t limit,
                                std::int64_t now_ms)
{
    const auto phase = at(ref).m_phase;
    const bool over = phase == task_phase::done || phase == task_phase::failed;
    if (over || m_phase != job_phase::active) {
        return at(ref).m_suspicion;
    }
    auto& suspect = find(ref);
    suspect.m_suspicion += weight;
    if (suspect.m_suspicion >= limit) {
        leave_runs(ref, now_ms);
        m_tasks.set_phase(ref, task_phase::failed);
        finish(job_phase::failed, now_ms);
    }
    return suspect.m_suspicion;
}

void job::clear_crashes(const task_ref& ref)
{
    if (at(ref).m_suspicion != 0) {
        find(ref).m_suspicion = 0;
    }
}

void job::finish(job_phase phase, std::int64_t now_ms)
{
    if (m_phase == job_phase::active) {
        m_phase = phase;
        m_ended_ms = now_ms;
    }
}

bool job::cancel(std::int64_t now_ms)
{
    const bool active = m_phase == job_phase::active;
    finish(job_phase::cancelled, now_ms);
    return active;
}

std::vector<std::uint8_t> job::encode_state() const
{
    instance_table instances;
    bit_list settled;
    auto rows = nlohmann::json::array();
    m_tasks.visit_changed([&](const task_ref& ref, const task& each) {
        if (each.m_run == 0 && each.m_phase == task_phase::waiting) {
            return;
        }
        rows.push_back(to_array(to_stored(ref, each, instances)));
        settled.push_back(each.m_phase == task_phase::placed && each.m_start_settled);
    });
    nlohmann::json record{static_cast<unsigned>(m_phase),
                          m_ended_ms,
                          m_begun,
                          encode_packed(instances.instances()),
                          std::move(rows),
                          m_placed_ms,
                          settled.to_json()};
    if (!m_leftovers.empty()) {
        record.push_back(to_rows(leftovers()));
    }
    return nlohmann::json::to_cbor(record);
}

tl::expected<job, decode_error> job::restore(job_header header, gsl::span<const std::uint8_t> state)
{
    constexpr std::size_t fields = 5;
    constexpr std::size_t placed_index = 5;
    constexpr std::size_t settled_index = 6;
    constexpr std::size_t leftovers_index = 7;
    const auto record = parse_cbor(state);
    if (!record) {
        return tl::make_unexpected(record.error());
    }
    job created{std::move(header)};
    try {
        if (!record->is_array() || record->size() < fields || !(*record)[4].is_array()) {
            return tl::make_unexpected(decode_error{decode_fault::wrong_type, "state"});
        }
        const auto phase = number_at(*record, 0);
        if (phase > static_cast<unsigned>(job_phase::cancelled)) {
            return tl::make_unexpected(decode_error{decode_fault::out_of_range, "phase"});
        }
        created.m_phase = static_cast<job_phase>(phase);
        created.m_ended_ms = (*record)[1].get<std::int64_t>();
        created.m_begun = (*record)[2].get<bool>();
        const auto instances = decode_packed<std::vector<worker_instance>>((*record)[3]);
        if (!instances) {
            return tl::make_unexpected(instances.error());
        }
        if (record->size() > placed_index) {
            created.m_placed_ms =
                std::max<std::int64_t>((*record)[placed_index].get<std::int64_t>(), 0);
        }
        const auto settled = record->size() > settled_index
                                 ? bit_list::from_json((*record)[settled_index])
                                 : bit_list{};
        if (record->size() > leftovers_index) {
            for (auto& leftover : leftovers_from((*record)[leftovers_index])) {
                if (!created.has(leftover.m_task)) {
                    return tl::make_unexpected(decode_error{decode_fault::out_of_range, "task"});
                }
                created.m_leftovers[{leftover.m_task, leftover.m_run, leftover.m_worker}] = {
                    leftover.m_noted_ms, leftover.m_settled, std::nullopt};
            }
        }
        std::size_t row_number = 0;
        for (const auto& row : (*record)[4]) {
            const auto stored = from_array(row);
            // Each task of an occurrence that is done has had its row.
            if (!created.has(stored.m_ref) || created.m_tasks.is_done(stored.m_ref.m_occurrence)) {
                return tl::make_unexpected(decode_error{decode_fault::out_of_range, "task"});
            }
            auto& entry = created.find(stored.m_ref);
            restore_task(stored, *instances, entry);
            entry.m_start_settled = settled.at(row_number);
            created.m_begun = created.m_begun || entry.m_start_settled;
            created.m_tasks.set_phase(stored.m_ref, stored.m_phase);
            ++row_number;
        }
    }
    catch (const internal::decode_exception& exception) {
        return tl::make_unexpected(exception.error());
    }
    catch (const std::exception&) {
        // The JSON library throws its own exceptions for a record of unexpected structure.
        return tl::make_unexpected(decode_error{decode_fault::wrong_type, "state"});
    }
    return created;
}

} // namespace peridotrudder
