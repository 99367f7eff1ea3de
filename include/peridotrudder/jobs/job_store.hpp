#pragma once

/// @file
/// The jobs of an owner and their records in the journal.

#include "peridotrudder/jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// One record of the journal. The newest record of a key holds its value; a record without a value
/// deletes the key.
struct keyed_record {
    std::string m_key;
    std::optional<std::vector<std::uint8_t>> m_value;
    /// Offset of the record in the journal; set by readers only.
    std::uint64_t m_offset{0};
};

/// Prefixes of the keys of a job's two records, which its id follows.
namespace job_records {
inline constexpr std::string_view header_prefix = "job/";
inline constexpr std::string_view state_prefix = "run/";
} // namespace job_records

/// Result of restoring the jobs from records.
struct restore_report {
    std::size_t m_jobs{0};
    /// Keys of headers that could not be restored to a job. Their records stay in the journal, and
    /// their jobs are left out.
    std::vector<std::string> m_damaged;
};

/// Holds the jobs by id and tracks which have changed since the last write.
///
/// A job has two keys: its header, written once, and the state of its tasks. Not thread-safe.
class job_store {
public:
    /// Restores the jobs from the records. Records of other kinds are ignored.
    static job_store restore(const std::vector<keyed_record>& records, restore_report& report);

    /// Adds a job that the journal has as it is. Returns false if there is one with its id.
    bool add_restored(job restored);
    /// Adds a job; its id must be new.
    job& add(job_header header);
    job* find(std::string_view id);
    const std::map<std::string, job, std::less<>>& jobs() const { return m_jobs; }
    /// Returns the sum of the jobs' `waiting_cost`, in bytes.
    std::size_t waiting_bytes() const { return m_waiting_bytes; }

    /// Marks the job's state for writing.
    void mark_changed(const std::string& id) { m_dirty.insert(id); }
    /// Returns whether the job has changes that `take_changes` has not returned.
    bool dirty(const std::string& id) const { return m_dirty.count(id) != 0; }
    /// Returns the ids of the jobs with changes that `take_changes` has not returned.
    const std::set<std::string>& dirty_ids() const { return m_dirty; }
    bool has_changes() const { return !m_dirty.empty() || !m_dropped.empty(); }
    /// Returns the records to write and clears the changes.
    std::vector<keyed_record> take_changes();

    /// Removes jobs that ended before `ended_before_ms` (Unix milliseconds) and returns their ids.
    /// Jobs with placed tasks or unwritten changes are kept.
    std::vector<std::string> expire(std::int64_t ended_before_ms);

private:
    std::map<std::string, job, std::less<>> m_jobs;
    std::size_t m_waiting_bytes{0};
    std::set<std::string> m_dirty;
    std::set<std::string> m_without_header;
    std::vector<std::string> m_dropped;
};

} // namespace peridotrudder
