#include "jobs/job_record.hpp"

#include <utility>

namespace peridotrudder::job_record {

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

stored_task to_stored(const task_ref& ref, const task& each, instance_table& instances)
{
    stored_task stored;
    stored.m_ref = ref;
    stored.m_phase = each.m_phase;
    stored.m_run = each.m_run;
    stored.m_failures = each.m_failures;
    stored.m_checkpoint = each.m_checkpoint;
    stored.m_suspicion = each.m_suspicion;
    stored.m_counted_gang_run = each.m_counted_gang_run;
    if (each.m_phase == task_phase::placed) {
        stored.m_instance = instances.index_of(each.m_placed_on);
        stored.m_newest_run = each.m_newest_run > each.m_run ? each.m_newest_run : 0;
    }
    else {
        // Earlier versions number the next run after this one.
        stored.m_run = std::max(each.m_run, each.m_newest_run);
    }
    if (each.m_copy) {
        stored.m_copy_instance = instances.index_of(each.m_copy->m_placed_on);
        stored.m_copy_settled = each.m_copy->m_start_settled;
    }
    return stored;
}

void restore_task(const stored_task& stored, const std::vector<worker_instance>& instances,
                  task& restored)
{
    restored.m_run = stored.m_run;
    restored.m_failures = stored.m_failures;
    restored.m_checkpoint = stored.m_checkpoint;
    restored.m_suspicion = stored.m_suspicion;
    restored.m_counted_gang_run = stored.m_counted_gang_run;
    if (stored.m_instance) {
        restored.m_placed_on = instances.at(*stored.m_instance);
    }
    restored.m_newest_run = std::max(stored.m_run, stored.m_newest_run);
    if (stored.m_copy_instance && stored.m_phase == task_phase::placed &&
        stored.m_newest_run > stored.m_run) {
        restored.m_copy = task_copy{stored.m_newest_run, instances.at(*stored.m_copy_instance),
                                    stored.m_copy_settled};
    }
}

} // namespace peridotrudder::job_record
