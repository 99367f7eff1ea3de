#pragma once

/// @file
/// All jobs of an owner, and the records in which they are kept.

#include "peridotrudder/jobs/job.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// One record of the journal. The newest record of a key is its value; one without a value drops
/// the key.
struct keyed_record {
    std::string m_key;
    std::optional<std::vector<std::uint8_t>> m_value;
    /// Where the record is; set by readers only.
    std::uint64_t m_offset{0};
};

/// What became of the records that a successor read.
struct restore_report {
    std::size_t m_jobs{0};
    /// Keys whose records make no job: left alone and out of the book.
    std::vector<std::string> m_damaged;
};

/// Holds the jobs by id and collects what has changed since the last write.
///
/// A job takes two keys: its header, written once, and the state of its tasks. Not thread-safe.
class job_store {
public:
    /// Returns the book that the records describe. Records of other kinds are passed over.
    static job_store restore(const std::vector<keyed_record>& records, restore_report& report);

    /// Adds a job; its id must be new.
    job& add(job_header header);
    job* find(std::string_view id);
    const std::map<std::string, job, std::less<>>& jobs() const { return m_jobs; }

    /// Notes that the job's state must be written.
    void mark_changed(const std::string& id) { m_dirty.insert(id); }
    /// Returns whether the job has changes that `take_changes` has not returned.
    bool dirty(const std::string& id) const { return m_dirty.count(id) != 0; }
    /// Returns the ids of the jobs that have such changes.
    const std::set<std::string>& dirty_ids() const { return m_dirty; }
    bool has_changes() const { return !m_dirty.empty() || !m_dropped.empty(); }
    /// Returns the records to write, and takes the changes as written.
    std::vector<keyed_record> take_changes();

    /// Drops jobs that ended before `ended_before_ms` (Unix milliseconds), and returns their ids.
    std::vector<std::string> expire(std::int64_t ended_before_ms);

private:
    std::map<std::string, job, std::less<>> m_jobs;
    std::set<std::string> m_dirty;
    std::set<std::string> m_without_header;
    std::vector<std::string> m_dropped;
};

} // namespace peridotrudder
