#pragma once

/// @file
/// Decides from missed heartbeats which members to suspect and which to evict.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/membership/view.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

/// A member to evict and the members that cannot hear it.
struct eviction {
    std::string m_incarnation;
    std::vector<std::string> m_observers;
};

/// Suspects members that were not heard for a while, and collects the others' suspicions.
///
/// A member is to be evicted when more than half of the view suspects it. Two halves that cannot
/// reach each other therefore evict nobody. Pure; not thread-safe.
class failure_detector {
public:
    failure_detector(std::string self, milliseconds suspect_after);

    void set_view(const view& current, time_point now);

    /// Takes a heartbeat and the sender's own suspicions.
    void heard(const std::string& from, const std::vector<std::string>& suspects, time_point now);

    /// Returns the members that this one has not heard for too long.
    std::vector<std::string> suspects(time_point now) const;

    /// Returns the evictions that this member is to propose: only the first member, by
    /// incarnation, that is not suspected itself proposes any.
    std::vector<eviction> evictions(time_point now) const;

private:
    struct peer {
        time_point m_heard;
        std::set<std::string> m_suspects;
    };

    std::string m_self;
    milliseconds m_suspect_after;
    view m_view;
    std::map<std::string, peer> m_peers;
};

} // namespace peridotrudder
