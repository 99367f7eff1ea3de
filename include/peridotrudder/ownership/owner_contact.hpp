#pragma once

/// @file
/// How a node is connected to the owner of the fleet, in each direction.

#include "peridotrudder/base/clock.hpp"

#include <cstddef>
#include <string>

namespace peridotrudder {

/// A node needs its own link to the owner to send calls, and the owner's link to it to get
/// heartbeats and answers.
struct owner_contact {
    /// The owner is known to have ended or resigned.
    bool m_gone{false};
    /// The own link to the owner is open, or this node is the owner.
    bool m_linked{false};
    /// Time since the owner's last heartbeat, or since its claim was learnt; zero on the owner.
    milliseconds m_heartbeat_age{0};
    /// Number of nodes to which the own link is open.
    std::size_t m_linked_peers{0};
};

/// Returns the contact as text for a log line.
std::string describe_contact(const owner_contact& contact);

} // namespace peridotrudder
