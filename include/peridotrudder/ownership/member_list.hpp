#pragma once

/// @file
/// The registered nodes, as read from the cluster's topic.

#include "peridotrudder/jobs/job_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotrudder {

/// Prefix of the keys under which nodes register; the node's name follows.
inline constexpr std::string_view node_key_prefix = "node/";

/// A node's registration.
struct node_record {
    std::string m_name;
    std::string m_incarnation;
    std::string m_address;
    std::uint16_t m_port{0};
    /// Unix milliseconds of the process's start.
    std::int64_t m_started_ms{0};
    /// Processor capacity of the node, in thousandths of a core.
    std::uint32_t m_cpu_millis{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("name", self.m_name);
        archive.field("incarnation", self.m_incarnation);
        archive.field("address", self.m_address);
        archive.field("port", self.m_port);
        archive.field("started_ms", self.m_started_ms);
        archive.field("cpu_millis", self.m_cpu_millis);
    }
};

/// Returns whether both records say the same.
bool operator==(const node_record& left, const node_record& right);

/// Reports an event with its detail.
using event_log = std::function<void(std::string_view event, std::string detail)>;

/// Applies the topic's records, and reports what changes. Not thread-safe.
class member_list {
public:
    explicit member_list(event_log log) : m_log{std::move(log)} {}

    /// Applies changes, in order; a snapshot replaces all that was known. Returns the processes
    /// that were registered before and are not any more.
    std::vector<node_record> take(const std::vector<keyed_record>& records, bool snapshot);
    /// Returns the nodes by their names.
    const std::map<std::string, node_record>& nodes() const { return m_nodes; }
    /// Returns the offset of a node's registration; zero if there is none.
    std::uint64_t offset_of(const std::string& name) const;

private:
    void take_change(const keyed_record& record);
    void report_change(const std::string& name, const node_record* before,
                       const node_record* after) const;

    event_log m_log;
    std::map<std::string, node_record> m_nodes;
    std::map<std::string, std::uint64_t> m_offsets;
    bool m_read{false};
};

} // namespace peridotrudder
