#include "peridotrudder/jobs/job.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace peridotrudder {

namespace {

/// Stored form of a task. Tasks in their initial state, which most are, are left out of a record.
struct stored_task {
    task_ref m_ref;
    task_phase m_phase{task_phase::waiting};
    std::uint32_t m_run{0};
    std::uint32_t m_failures{0};
    /// Index into the record's worker instances; absent unless the task is placed.
    std::optional<std::uint32_t> m_instance;
    std::string m_checkpoint;
    std::uint32_t m_suspicion{0};
    std::uint32_t m_counted_gang_run{0};
    /// Zero if it is that of the run.
    std::uint32_t m_newest_run{0};
    /// Instance of the copy, whose number is the newest.
    std::optional<std::uint32_t> m_copy_instance;
    bool m_copy_settled{false};
};

nlohmann::json to_array(const stored_task& stored)
{
    auto row = nlohmann::json::array({stored.m_ref.m_occurrence, stored.m_ref.m_step,
                                      stored.m_ref.m_index, static_cast<unsigned>(stored.m_phase),
                                      stored.m_run, stored.m_failures});
    const bool has_newer_run = stored.m_newest_run != 0;
    const bool has_counted_run = has_newer_run || stored.m_counted_gang_run != 0;
    const bool is_suspected = has_counted_run || stored.m_suspicion != 0;
    const bool has_checkpoint = is_suspected || !stored.m_checkpoint.empty();
    if (stored.m_instance || has_checkpoint) {
        row.push_back(stored.m_instance ? nlohmann::json(*stored.m_instance) : nlohmann::json{});
    }
    if (has_checkpoint) {
        row.push_back(stored.m_checkpoint);
    }
    if (is_suspected) {
        row.push_back(stored.m_suspicion);
    }
    if (has_counted_run) {
        row.push_back(stored.m_counted_gang_run);
    }
    // Earlier versions do not read further.
    if (has_newer_run) {
        row.push_back(stored.m_newest_run);
    }
    if (stored.m_copy_instance) {
        row.push_back(*stored.m_copy_instance);
        row.push_back(stored.m_copy_settled);
    }
    return row;
}

/// Pause between records of a run that a worker lists again and again.
constexpr std::int64_t leftover_repeat_ms = 5'000;

std::uint32_t number_at(const nlohmann::json& row, std::size_t index)
{
    std::uint32_t value = 0;
    internal::read_integer(row.at(index), value, "task");
    return value;
}

stored_task from_array(const nlohmann::json& row)
{
    constexpr std::size_t instance_position = 6;
    constexpr std::size_t checkpoint_index = 7;
    constexpr std::size_t suspicion_index = 8;
    constexpr std::size_t counted_run_index = 9;
    constexpr std::size_t newest_run_index = 10;
    constexpr std::size_t copy_instance_index = 11;
    constexpr std::size_t copy_settled_index = 12;
    stored_task stored;
    stored.m_ref = {number_at(row, 0), number_at(row, 1), number_at(row, 2)};
    const auto phase = number_at(row, 3);
    if (phase > static_cast<unsigned>(task_phase::failed)) {
        throw internal::decode_exception{{decode_fault::out_of_range, "phase"}};
    }
    stored.m_phase = static_cast<task_phase>(phase);
    stored.m_run = number_at(row, 4);
    stored.m_failures = number_at(row, 5);
    if (row.size() > instance_position && !row[instance_position].is_null()) {
        stored.m_instance = number_at(row, instance_position);
    }
    if (row.size() > checkpoint_index) {
        stored.m_checkpoint = row[checkpoint_index].get<std::string>();
    }
    if (row.size() > suspicion_index) {
        stored.m_suspicion = number_at(row, suspicion_index);
    }
    if (row.size() > counted_run_index) {
        stored.m_counted_gang_run = number_at(row, counted_run_index);
    }
    if (row.size() > newest_run_index) {
        stored.m_newest_run = number_at(row, newest_run_index);
    }
    if (row.size() > copy_settled_index) {
        stored.m_copy_instance = number_at(row, copy_instance_index);
        stored.m_copy_settled = row[copy_settled_index].get<bool>();
    }
    return stored;
}

nlohmann::json to_rows(const std::vector<leftover_run>& leftovers)
{
    auto rows = nlohmann::json::array();
    for (const auto& leftover : leftovers) {
        rows.push_back({leftover.m_task.m_occurrence, leftover.m_task.m_step,
                        leftover.m_task.m_index, leftover.m_run, leftover.m_worker,
                        leftover.m_noted_ms, leftover.m_settled});
    }
    return rows;
}

std::vector<leftover_run> leftovers_from(const nlohmann::json& rows)
{
    constexpr std::size_t run_index = 3;
    constexpr std::size_t worker_index = 4;
    constexpr std::size_t noted_index = 5;
    constexpr std::size_t settled_index = 6;
    std::vector<leftover_run> leftovers;
    for (const auto& row : rows) {
        leftovers.push_back({{number_at(row, 0), number_at(row, 1), number_at(row, 2)},
                             number_at(row, run_index),
                             row.at(worker_index).get<std::string>(),
                             std::max<std::int64_t>(row.at(noted_index).get<std::int64_t>(), 0),
                             row.at(settled_index).get<bool>()});
    }
    return leftovers;
}

/// The distinct worker instances of a record.
class instance_table {
public:
    std::uint32_t index_of(const worker_instance& instance)
    {
        const auto entry = std::find(m_instances.begin(), m_instances.end(), instance);
        if (entry != m_instances.end()) {
            return static_cast<std::uint32_t>(entry - m_instances.begin());
        }
        m_instances.push_back(instance);
        return static_cast<std::uint32_t>(m_instances.size() - 1);
    }

    const std::vector<worker_instance>& instances() const { return m_instances; }

private:
    std::vector<worker_instance> m_instances;
};

/// Bits, eight in a byte; those beyond the end are false.
class bit_list {
public:
    static bit_list from_json(const nlohmann::json& stored)
    {
        bit_list bits;
        const auto& bytes = stored.get_ref<const nlohmann::json::binary_t&>();
        bits.m_bytes.assign(bytes.begin(), bytes.end());
        bits.m_size = bits.m_bytes.size() * bits_per_byte;
        return bits;
    }

    void push_back(bool bit)
    {
        if (m_size % bits_per_byte == 0) {
            m_bytes.push_back(0);
        }
        if (bit) {
            m_bytes.back() |= static_cast<std::uint8_t>(1U << m_size % bits_per_byte);
        }
        ++m_size;
    }

    bool at(std::size_t index) const
    {
        return index < m_size &&
               (m_bytes[index / bits_per_byte] >> index % bits_per_byte & 1U) != 0;
    }

    nlohmann::json to_json() const { return nlohmann::json::binary(m_bytes); }

private:
    static constexpr std::size_t bits_per_byte = 8;

    std::vector<std::uint8_t> m_bytes;
    std::size_t m_size{0};
};

} // namespace

job job::copy_for_placement() const
{
    auto copy = *this;
    std::string{}.swap(copy.m_header.m_spec.m_payload);
    copy.m_leftovers.clear();
    for (auto& occurrence : copy.m_tasks) {
        for (auto& step : occurrence) {
            for (auto& each : step) {
                std::string{}.swap(each.m_checkpoint);
            }
        }
    }
    return copy;
}

std::uint64_t job::all_tasks() const
{
    std::uint64_t tasks = 0;
    for (const auto& occurrence : m_tasks) {
        for (const auto& step : occurrence) {
            tasks += step.size();
        }
    }
    return tasks;
}

job job::create(job_header header)
{
    job created;
    created.m_header = std::move(header);
    const auto& spec = created.m_header.m_spec;
    const auto times = spec.m_recurrence ? spec.m_recurrence->m_times : 1;
    created.m_tasks.resize(times);
    for (auto& occurrence : created.m_tasks) {
        for (const auto& step : spec.m_steps) {
            occurrence.emplace_back(step.m_count);
        }
    }
    created.recount();
    return created;
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
    const auto& dependencies = spec().m_steps.at(step).m_depends_on;
    const auto& open = m_open.at(occurrence);
    return std::all_of(dependencies.begin(), dependencies.end(),
                       [&open](std::uint32_t dependency) { return open[dependency] == 0; });
}

std::uint32_t job::waiting(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto all = tasks(occurrence, step);
    return static_cast<std::uint32_t>(std::count_if(all.begin(), all.end(), [](const task& entry) {
        return entry.m_phase == task_phase::waiting;
    }));
}

std::uint32_t job::open_tasks(std::uint32_t occurrence, std::uint32_t step) const
{
    return m_open.at(occurrence).at(step);
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

std::vector<task_ref> job::placed_refs() const
{
    std::vector<task_ref> placed;
    if (m_placed == 0) {
        return placed;
    }
    for (std::uint32_t occurrence = 0; occurrence < occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < spec().m_steps.size(); ++step) {
            const auto& tasks = m_tasks[occurrence][step];
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].m_phase == task_phase::placed) {
                    placed.push_back({occurrence, step, index});
                }
            }
        }
    }
    return placed;
}

std::uint32_t job::place(const task_ref& ref, const worker_instance& worker)
{
    auto& placed = find(ref);
    if (placed.m_phase != task_phase::placed) {
        ++m_placed;
    }
    placed.m_phase = task_phase::placed;
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
    auto& members = m_tasks.at(occurrence).at(step);
    std::uint32_t run = 0;
    for (const auto& member : members) {
        run = std::max(run, member.m_run);
    }
    for (std::uint32_t index = 0; index < members.size(); ++index) {
        members[index].m_run = run;
        place({occurrence, step, index}, workers[index]);
    }
    return run + 1;
}

void job::settle_start(const task_ref& ref, std::uint32_t run)
{
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
    void_run(ref, find(ref).m_run);
}

bool job::void_run(const task_ref& ref, std::uint32_t run)
{
    const auto& entry = find(ref);
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
        entry.m_phase = task_phase::waiting;
        entry.m_placed_on = {};
        --m_placed;
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
    const auto& entry = find(ref);
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
    auto& ended = find(ref);
    if (ended.m_phase == task_phase::done || ended.m_phase == task_phase::failed) {
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
        ended.m_checkpoint = checkpoint;
    }
    if (kind == run_end::failed && !long_running) {
        count_failure(ref);
        fail_task(ref, attempts, now_ms);
    }
    return true;
}

void job::finish_task(const task_ref& ref, std::uint32_t run, std::int64_t now_ms)
{
    const auto complete = [&](std::uint32_t index) {
        auto& member = m_tasks[ref.m_occurrence][ref.m_step][index];
        if (member.m_phase == task_phase::placed) {
            --m_placed;
            if (member.is_copy(run)) {
                member.m_copy.reset();
            }
            note_copy_left({ref.m_occurrence, ref.m_step, index}, now_ms);
            if (index != ref.m_index || member.m_run != run) {
                note_leftover({{ref.m_occurrence, ref.m_step, index},
                               member.m_run,
                               member.m_placed_on.m_worker,
                               now_ms,
                               member.m_start_settled});
            }
        }
        if (member.m_phase != task_phase::done) {
            --m_open[ref.m_occurrence][ref.m_step];
            --m_open_total;
        }
        member.m_phase = task_phase::done;
        member.m_placed_on = {};
        member.m_checkpoint.clear();
    };
    complete(ref.m_index);
    if (spec().m_steps[ref.m_step].m_gang) {
        // The success of one member completes the whole gang.
        for (std::uint32_t index = 0; index < spec().m_steps[ref.m_step].m_count; ++index) {
            complete(index);
        }
    }
    if (m_open_total == 0) {
        finish(job_phase::completed, now_ms);
    }
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
        find(ref).m_phase = task_phase::failed;
        finish(job_phase::failed, now_ms);
    }
}

std::uint32_t job::record_crash(const task_ref& ref, std::uint32_t weight, std::uint32_t limit,
                                std::int64_t now_ms)
{
    auto& suspect = find(ref);
    const bool over = suspect.m_phase == task_phase::done || suspect.m_phase == task_phase::failed;
    if (over || m_phase != job_phase::active) {
        return suspect.m_suspicion;
    }
    suspect.m_suspicion += weight;
    if (suspect.m_suspicion >= limit) {
        leave_runs(ref, now_ms);
        suspect.m_phase = task_phase::failed;
        finish(job_phase::failed, now_ms);
    }
    return suspect.m_suspicion;
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
            std::uint32_t open_count = 0;
            for (const auto& entry : step) {
                open_count += entry.m_phase == task_phase::done ? 0 : 1;
                m_placed += entry.m_phase == task_phase::placed ? 1 : 0;
            }
            open.push_back(open_count);
            m_open_total += open_count;
        }
    }
}

std::vector<std::uint8_t> job::encode_state() const
{
    instance_table instances;
    bit_list settled;
    auto rows = nlohmann::json::array();
    for (std::uint32_t occurrence = 0; occurrence < m_tasks.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < m_tasks[occurrence].size(); ++step) {
            const auto& members = m_tasks[occurrence][step];
            for (std::uint32_t index = 0; index < members.size(); ++index) {
                const auto& member = members[index];
                if (member.m_run == 0 && member.m_phase == task_phase::waiting) {
                    continue;
                }
                stored_task stored{{occurrence, step, index},
                                   member.m_phase,
                                   member.m_run,
                                   member.m_failures,
                                   std::nullopt,
                                   member.m_checkpoint,
                                   member.m_suspicion,
                                   member.m_counted_gang_run,
                                   0,
                                   std::nullopt,
                                   false};
                if (member.m_phase == task_phase::placed) {
                    stored.m_instance = instances.index_of(member.m_placed_on);
                    stored.m_newest_run =
                        member.m_newest_run > member.m_run ? member.m_newest_run : 0;
                }
                else {
                    // Earlier versions number the next run after this one.
                    stored.m_run = std::max(member.m_run, member.m_newest_run);
                }
                if (member.m_copy) {
                    stored.m_copy_instance = instances.index_of(member.m_copy->m_placed_on);
                    stored.m_copy_settled = member.m_copy->m_start_settled;
                }
                rows.push_back(to_array(stored));
                settled.push_back(member.m_phase == task_phase::placed && member.m_start_settled);
            }
        }
    }
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
    auto created = create(std::move(header));
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
            if (!created.has(stored.m_ref)) {
                return tl::make_unexpected(decode_error{decode_fault::out_of_range, "task"});
            }
            auto& entry = created.find(stored.m_ref);
            entry.m_phase = stored.m_phase;
            entry.m_run = stored.m_run;
            entry.m_failures = stored.m_failures;
            entry.m_checkpoint = stored.m_checkpoint;
            entry.m_suspicion = stored.m_suspicion;
            entry.m_counted_gang_run = stored.m_counted_gang_run;
            if (stored.m_instance) {
                entry.m_placed_on = instances->at(*stored.m_instance);
            }
            entry.m_newest_run = std::max(stored.m_run, stored.m_newest_run);
            if (stored.m_copy_instance && stored.m_phase == task_phase::placed &&
                stored.m_newest_run > stored.m_run) {
                entry.m_copy =
                    task_copy{stored.m_newest_run, instances->at(*stored.m_copy_instance),
                              stored.m_copy_settled};
            }
            entry.m_start_settled = settled.at(row_number);
            created.m_begun = created.m_begun || entry.m_start_settled;
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
    created.recount();
    return created;
}

} // namespace peridotrudder
