#pragma once

/// @file
/// Peers that confirm that they hear this node as the owner.

#include "peridotrudder/base/clock.hpp"

#include <map>
#include <string>

namespace peridotrudder {

/// Decides when an owner whose proof of ownership gets old asks its peers, and whether enough of
/// them have confirmed it. Has no side effects; not thread-safe.
class owner_support {
public:
    /// Forgets what peers have said of an earlier ownership.
    void reset() { m_supporters.clear(); }
    /// Returns whether the peers are to be asked now; they then count as asked.
    bool ask(milliseconds proof_age, time_point now);
    /// A peer hears the owner. The confirmation is valid from the time of the question: an answer
    /// may be read long after it has come.
    void confirmed(const std::string& peer, time_point asked_at) { m_supporters[peer] = asked_at; }
    /// Returns whether the owner and the peers that have just confirmed it are a majority of this
    /// many nodes.
    bool is_majority(std::size_t nodes, time_point now) const;

private:
    time_point m_asked_at;
    /// Peers that hear the owner, and when they were asked.
    std::map<std::string, time_point> m_supporters;
};

} // namespace peridotrudder
