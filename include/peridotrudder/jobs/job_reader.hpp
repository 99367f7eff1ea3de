#pragma once

/// @file
/// Restores jobs from the records of a journal, some at a time.

#include "peridotrudder/jobs/job_store.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotrudder {

/// Restores jobs in steps of bounded size, so that an event loop can do other work between them.
/// Not thread-safe.
class job_reader {
public:
    /// Records of other kinds than jobs are ignored; the order of the records has no influence.
    static job_reader create(std::vector<keyed_record> records);

    job_reader(const job_reader&) = delete;
    job_reader& operator=(const job_reader&) = delete;
    job_reader(job_reader&&) = default;
    job_reader& operator=(job_reader&&) = default;
    ~job_reader() = default;

    /// Restores at most `max_jobs` further jobs. Returns by how much it used that limit up: records
    /// that are no jobs count too, though much less.
    std::size_t read(std::size_t max_jobs);
    bool complete() const { return m_next_header == m_records.size(); }
    /// Returns the number of records that are not handled yet.
    std::size_t records_left() const { return m_records.size() - m_next_header; }
    const std::vector<keyed_record>& records() const { return m_records; }
    const restore_report& report() const { return m_report; }
    /// Returns the restored jobs; call once, when complete.
    job_store take_store();

private:
    explicit job_reader(std::vector<keyed_record> records);

    /// Returns the number of records looked at.
    std::size_t index_states(std::size_t max_records);
    void restore_job(const keyed_record& record);

    std::vector<keyed_record> m_records;
    /// Records of the jobs' states, by the jobs' ids. The keys are parts of `m_records`.
    std::unordered_map<std::string_view, const std::vector<std::uint8_t>*> m_states;
    std::size_t m_next_state{0};
    std::size_t m_next_header{0};
    job_store m_store;
    restore_report m_report;
};

} // namespace peridotrudder
