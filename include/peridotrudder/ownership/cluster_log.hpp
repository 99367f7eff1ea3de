#pragma once

/// @file
/// What a node reads from and writes to the platform's log about the ownership.

#include "peridotrudder/ownership/log_port.hpp"
#include "peridotrudder/ownership/owner_election.hpp"
#include "peridotrudder/ownership/owner_group.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// Keys of the ownership's records in the cluster's topic.
inline constexpr std::string_view owner_key = "owner";
inline constexpr std::string_view owner_group_key = "owner_group";
/// Timeout of appends to the cluster's topic.
constexpr milliseconds cluster_append_timeout{800};

/// Calls of the log about the ownership. No callback runs after the object is destroyed. Not
/// thread-safe; runs on the loop.
class cluster_log {
public:
    using append_handler = std::function<void(const append_answer&)>;

    /// `log` must outlive the object.
    cluster_log(const log_port& log, std::string topic, std::string journal_topic);

    /// Appends a claim if the topic still ends at `expected_end`.
    void append_claim(const ownership_claim& claim, std::uint64_t expected_end,
                      append_handler done);
    void append_group(const owner_group& group, append_handler done);
    /// Deletes a node's registration if the topic still ends at `expected_end`, since the node may
    /// be registering again.
    void delete_node(const std::string& name, std::uint64_t expected_end, append_handler done);

    /// Tells whether the journal is written to for longer than an owner pauses, if the log answers.
    void watch_journal(std::function<void(bool written)> seen);
    /// Tells if the journal can be read; nothing otherwise.
    void probe_journal(std::function<void()> reached);

private:
    append_request make_append(std::string key,
                               std::optional<std::vector<std::uint8_t>> value) const;
    void append(const append_request& request, append_handler done);
    read_request make_journal_read() const;
    void read_journal_from(std::uint64_t end, std::function<void(bool written)> seen);

    const log_port& m_log;
    const std::string m_topic;
    const std::string m_journal_topic;
    /// Callbacks of pending calls hold a weak pointer to it, to detect that the object is
    /// destroyed.
    std::shared_ptr<cluster_log*> m_self;
};

} // namespace peridotrudder
