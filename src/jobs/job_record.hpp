#pragma once

/// @file
/// Rows of the record of a job's state.

#include "peridotrudder/jobs/job.hpp"

#include "peridotrudder/base/codec.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder::job_record {

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

/// Returns a number of a row. Throws like the other functions that read: a decode exception, or one
/// of the JSON library.
std::uint32_t number_at(const nlohmann::json& row, std::size_t index);

/// Returns the stored form of a task, whose workers get entries in `instances`.
stored_task to_stored(const task_ref& ref, const task& each, instance_table& instances);
/// Sets what a row tells of a task, but for its phase and whether its start is settled.
void restore_task(const stored_task& stored, const std::vector<worker_instance>& instances,
                  task& restored);

nlohmann::json to_array(const stored_task& stored);
stored_task from_array(const nlohmann::json& row);

nlohmann::json to_rows(const std::vector<leftover_run>& leftovers);
std::vector<leftover_run> leftovers_from(const nlohmann::json& rows);

} // namespace peridotrudder::job_record
