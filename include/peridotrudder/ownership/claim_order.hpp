#pragma once

/// @file
/// Which nodes claim the ownership first, and to which one an owner hands over.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/ownership/member_list.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace peridotrudder {

/// Returns how long a node waits with its claim, so that those before it in the order come first.
/// `linked` has the incarnations to which the node has a link.
milliseconds claim_delay(const node_record& self, const std::map<std::string, node_record>& nodes,
                         const std::set<std::string>& linked, std::int64_t now_ms);

/// Returns a linked node with at least 1.5 times the processor capacity that has been up for long
/// enough; null if there is none.
const node_record* find_larger_node(const node_record& self,
                                    const std::map<std::string, node_record>& nodes,
                                    const std::set<std::string>& linked, std::int64_t now_ms);

} // namespace peridotrudder
