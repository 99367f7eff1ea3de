#include "peridotrudder/jobs/job.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// A task as it is kept. Most tasks of a record are in their first state, which is left out.
struct kept_task {
    task_ref m_ref;
    task_phase m_phase{task_phase::waiting};
    std::uint32_t m_run{0};
    std::uint32_t m_failures{0};
    /// Index into the record's worker lives; absent unless the task is placed.
    std::optional<std::uint32_t> m_instance;
    std::string m_checkpoint;
};

nlohmann::json to_array(const kept_task& kept)
{
    auto row =
        nlohmann::json::array({kept.m_ref.m_occurrence, kept.m_ref.m_step, kept.m_ref.m_index,
                               static_cast<unsigned>(kept.m_phase), kept.m_run, kept.m_failures});
    if (kept.m_instance || !kept.m_checkpoint.empty()) {
        row.push_back(kept.m_instance ? nlohmann::json(*kept.m_instance) : nlohmann::json{});
    }
    if (!kept.m_checkpoint.empty()) {
        row.push_back(kept.m_checkpoint);
    }
    return row;
}

std::uint32_t number_at(const nlohmann::json& row, std::size_t index)
{
    std::uint32_t value = 0;
    internal::read_integer(row.at(index), value, "task");
    return value;
}

kept_task from_array(const nlohmann::json& row)
{
    constexpr std::size_t life_index = 6;
    constexpr std::size_t checkpoint_index = 7;
    kept_task kept;
    kept.m_ref = {number_at(row, 0), number_at(row, 1), number_at(row, 2)};
    const auto phase = number_at(row, 3);
    if (phase > static_cast<unsigned>(task_phase::failed)) {
        throw internal::decode_exception{{decode_fault::out_of_range, "phase"}};
    }
    kept.m_phase = static_cast<task_phase>(phase);
    kept.m_run = number_at(row, 4);
    kept.m_failures = number_at(row, 5);
    if (row.size() > life_index && !row[life_index].is_null()) {
        kept.m_instance = number_at(row, life_index);
    }
    if (row.size() > checkpoint_index) {
        kept.m_checkpoint = row[checkpoint_index].get<std::string>();
    }
    return kept;
}

/// The worker lives that a record names, each once.
class life_table {
public:
    std::uint32_t index_of(const worker_instance& life)
    {
        const auto found = std::find(m_lives.begin(), m_lives.end(), life);
        if (found != m_lives.end()) {
            return static_cast<std::uint32_t>(found - m_lives.begin());
        }
        m_lives.push_back(life);
        return static_cast<std::uint32_t>(m_lives.size() - 1);
    }

    const std::vector<worker_instance>& lives() const { return m_lives; }

private:
    std::vector<worker_instance> m_lives;
};

} // namespace

job job::create(job_header header)
{
    job made;
    made.m_header = std::move(header);
    const auto& spec = made.m_header.m_spec;
    const auto times = spec.m_recurrence ? spec.m_recurrence->m_times : 1;
    made.m_tasks.resize(times);
    for (auto& occurrence : made.m_tasks) {
        for (const auto& step : spec.m_steps) {
            occurrence.emplace_back(step.m_count);
        }
    }
    made.recount();
    return made;
}

std::int64_t job::due_ms(std::uint32_t occurrence) const
{
    const auto& times = spec().m_recurrence;
    return times ? times->m_first_ms + std::int64_t{occurrence} * times->m_interval_ms
                 : m_header.m_accepted_ms;
}

bool job::has(const task_ref& ref) const
{
    return ref.m_occurrence < m_tasks.size() && ref.m_step < m_tasks[ref.m_occurrence].size() &&
           ref.m_index < m_tasks[ref.m_occurrence][ref.m_step].size();
}

const task& job::at(const task_ref& ref) const
{
    return m_tasks.at(ref.m_occurrence).at(ref.m_step).at(ref.m_index);
}

task& job::find(const task_ref& ref)
{
    return m_tasks.at(ref.m_occurrence).at(ref.m_step).at(ref.m_index);
}

gsl::span<const task> job::tasks(std::uint32_t occurrence, std::uint32_t step) const
{
    return m_tasks.at(occurrence).at(step);
}

bool job::unblocked(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto& needed = spec().m_steps.at(step).m_depends_on;
    const auto& open = m_open.at(occurrence);
    return std::all_of(needed.begin(), needed.end(),
                       [&open](std::uint32_t each) { return open[each] == 0; });
}

std::uint32_t job::waiting(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto all = tasks(occurrence, step);
    return static_cast<std::uint32_t>(std::count_if(all.begin(), all.end(), [](const task& each) {
        return each.m_phase == task_phase::waiting;
    }));
}

std::uint32_t job::place(const task_ref& ref, const worker_instance& where)
{
    auto& placed = find(ref);
    if (placed.m_phase != task_phase::placed) {
        ++m_placed;
    }
    placed.m_phase = task_phase::placed;
    placed.m_placed_on = where;
    m_begun = true;
    return ++placed.m_run;
}

std::uint32_t job::place_gang(std::uint32_t occurrence, std::uint32_t step,
                              gsl::span<const worker_instance> where)
{
    auto& members = m_tasks.at(occurrence).at(step);
    std::uint32_t run = 0;
    for (const auto& each : members) {
        run = std::max(run, each.m_run);
    }
    for (std::uint32_t index = 0; index < members.size(); ++index) {
        members[index].m_run = run;
        place({occurrence, step, index}, where[index]);
    }
    return run + 1;
}

void job::void_run(const task_ref& ref)
{
    auto& each = find(ref);
    if (each.m_phase == task_phase::placed) {
        each.m_phase = task_phase::waiting;
        each.m_placed_on = {};
        --m_placed;
    }
}

bool job::end(const task_ref& ref, std::uint32_t run, run_end how, const std::string& checkpoint,
              std::uint32_t attempts, std::int64_t now_ms)
{
    auto& each = find(ref);
    if (each.m_phase == task_phase::done || each.m_phase == task_phase::failed) {
        return false;
    }
    const bool lasts = spec().m_steps[ref.m_step].m_long_running;
    if (how == run_end::done && !lasts) {
        finish_task(ref, each, now_ms);
        return true;
    }
    if (each.m_phase != task_phase::placed || run != each.m_run) {
        return false;
    }
    each.m_phase = task_phase::waiting;
    each.m_placed_on = {};
    --m_placed;
    if (!checkpoint.empty()) {
        each.m_checkpoint = checkpoint;
    }
    if (how == run_end::failed && !lasts) {
        ++each.m_failures;
        fail_task(ref, attempts, now_ms);
    }
    return true;
}

void job::finish_task(const task_ref& ref, task& each, std::int64_t now_ms)
{
    const auto complete = [this, &ref](task& member) {
        if (member.m_phase == task_phase::placed) {
            --m_placed;
        }
        if (member.m_phase != task_phase::done) {
            --m_open[ref.m_occurrence][ref.m_step];
            --m_open_total;
        }
        member.m_phase = task_phase::done;
        member.m_placed_on = {};
        member.m_checkpoint.clear();
    };
    complete(each);
    if (spec().m_steps[ref.m_step].m_gang) {
        // One member's success stands for the whole gang.
        for (auto& member : m_tasks[ref.m_occurrence][ref.m_step]) {
            complete(member);
        }
    }
    if (m_open_total == 0) {
        finish(job_phase::completed, now_ms);
    }
}

void job::fail_task(const task_ref& ref, std::uint32_t attempts, std::int64_t now_ms)
{
    auto& each = find(ref);
    std::uint32_t failures = each.m_failures;
    if (spec().m_steps[ref.m_step].m_gang) {
        // A gang fails as one: the failures of all its members count together.
        failures = 0;
        for (const auto& member : m_tasks[ref.m_occurrence][ref.m_step]) {
            failures += member.m_failures;
        }
    }
    if (failures >= attempts) {
        each.m_phase = task_phase::failed;
        finish(job_phase::failed, now_ms);
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

void job::recount()
{
    m_placed = 0;
    m_open_total = 0;
    m_open.clear();
    for (const auto& occurrence : m_tasks) {
        auto& open = m_open.emplace_back();
        for (const auto& step : occurrence) {
            std::uint32_t left = 0;
            for (const auto& each : step) {
                left += each.m_phase == task_phase::done ? 0 : 1;
                m_placed += each.m_phase == task_phase::placed ? 1 : 0;
            }
            open.push_back(left);
            m_open_total += left;
        }
    }
}

std::vector<std::uint8_t> job::encode_state() const
{
    life_table lives;
    auto rows = nlohmann::json::array();
    for (std::uint32_t occurrence = 0; occurrence < m_tasks.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < m_tasks[occurrence].size(); ++step) {
            const auto& members = m_tasks[occurrence][step];
            for (std::uint32_t index = 0; index < members.size(); ++index) {
                const auto& each = members[index];
                if (each.m_run == 0 && each.m_phase == task_phase::waiting) {
                    continue;
                }
                kept_task kept{{occurrence, step, index}, each.m_phase, each.m_run,
                               each.m_failures,           std::nullopt, each.m_checkpoint};
                if (each.m_phase == task_phase::placed) {
                    kept.m_instance = lives.index_of(each.m_placed_on);
                }
                rows.push_back(to_array(kept));
            }
        }
    }
    const nlohmann::json record{static_cast<unsigned>(m_phase), m_ended_ms, m_begun,
                                encode_packed(lives.lives()), std::move(rows)};
    return nlohmann::json::to_cbor(record);
}

tl::expected<job, decode_error> job::restore(job_header header, gsl::span<const std::uint8_t> state)
{
    constexpr std::size_t fields = 5;
    const auto record = parse_cbor(state);
    if (!record) {
        return tl::make_unexpected(record.error());
    }
    auto made = create(std::move(header));
    try {
        if (!record->is_array() || record->size() < fields || !(*record)[4].is_array()) {
            return tl::make_unexpected(decode_error{decode_fault::wrong_type, "state"});
        }
        const auto phase = number_at(*record, 0);
        if (phase > static_cast<unsigned>(job_phase::cancelled)) {
            return tl::make_unexpected(decode_error{decode_fault::out_of_range, "phase"});
        }
        made.m_phase = static_cast<job_phase>(phase);
        made.m_ended_ms = (*record)[1].get<std::int64_t>();
        made.m_begun = (*record)[2].get<bool>();
        const auto lives = decode_packed<std::vector<worker_instance>>((*record)[3]);
        if (!lives) {
            return tl::make_unexpected(lives.error());
        }
        for (const auto& row : (*record)[4]) {
            const auto kept = from_array(row);
            if (!made.has(kept.m_ref)) {
                return tl::make_unexpected(decode_error{decode_fault::out_of_range, "task"});
            }
            auto& each = made.find(kept.m_ref);
            each.m_phase = kept.m_phase;
            each.m_run = kept.m_run;
            each.m_failures = kept.m_failures;
            each.m_checkpoint = kept.m_checkpoint;
            if (kept.m_instance) {
                each.m_placed_on = lives->at(*kept.m_instance);
            }
        }
    }
    catch (const internal::decode_exception& exception) {
        return tl::make_unexpected(exception.error());
    }
    catch (const std::exception&) {
        // A record of another shape: the library reports it by its own exceptions.
        return tl::make_unexpected(decode_error{decode_fault::wrong_type, "state"});
    }
    made.recount();
    return made;
}

} // namespace peridotrudder
