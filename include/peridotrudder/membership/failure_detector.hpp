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

/// A member to evict and the members that suspect it.
struct eviction {
    std::string m_incarnation;
    std::vector<std::string> m_observers;
};

/// Suspects members whose heartbeats are missing, and collects the other members' suspicions.
///
/// A member is evicted when more than half of the view suspects it. Two halves of a network
/// partition therefore evict nobody. Pure; not thread-safe.
class failure_detector {
public:
    failure_detector(std::string self, milliseconds suspect_after);

    /// Sets the current view. A new member counts as heard at `now`.
    void set_view(const view& current, time_point now);

    /// Records a heartbeat and the sender's own suspicions.
    void heard(const std::string& from, const std::vector<std::string>& suspects, time_point now);

    /// Returns the members whose last heartbeat is at least `suspect_after` old.
    std::vector<std::string> suspects(time_point now) const;

    /// Returns the evictions that this member proposes. To avoid duplicates, only the member with
    /// the lowest incarnation among those not suspected proposes any.
    std::vector<eviction> evictions(time_point now) const;

private:
    struct peer {
        time_point m_last_heartbeat;
        std::set<std::string> m_suspects;
    };

    std::string m_self;
    milliseconds m_suspect_after;
    view m_view;
    std::map<std::string, peer> m_peers;
};

} // namespace peridotrudder
