#include "peridotrudder/ownership/claim_order.hpp"

#include <algorithm>
#include <cstdlib>
#include <tuple>

namespace peridotrudder {

namespace {

/// Delay between the claims of two nodes: about the duration of a claim.
constexpr milliseconds claim_spacing{12};
constexpr milliseconds longest_delay{150};
/// A process that has just started may not know its peers yet.
constexpr milliseconds settling_time{1'000};

// The nodes with the most processor capacity claim first, since the owner's work is not shared.
// Among equal nodes the last started claims first: in a rolling restart the nodes that have been
// restarted will not be stopped again soon. A process that has just started comes last.
auto rank_of(const node_record& node, std::int64_t now_ms)
{
    const auto age_ms = now_ms - node.m_started_ms;
    return std::make_tuple(age_ms < settling_time.count(), -std::int64_t{node.m_cpu_millis},
                           -node.m_started_ms, node.m_name);
}

} // namespace

milliseconds claim_delay(const node_record& self, const std::map<std::string, node_record>& nodes,
                         const std::set<std::string>& linked, std::int64_t now_ms)
{
    const auto own_rank = rank_of(self, now_ms);
    milliseconds delay{0};
    for (const auto& [name, node] : nodes) {
        // Where all nodes start at once, the owner is elected before links are open.
        const bool starting = std::abs(now_ms - node.m_started_ms) < settling_time.count();
        const bool present = starting || linked.count(node.m_incarnation) != 0;
        delay += present && rank_of(node, now_ms) < own_rank ? claim_spacing : milliseconds{0};
    }
    return std::min(delay, longest_delay);
}

const node_record* find_larger_node(const node_record& self,
                                    const std::map<std::string, node_record>& nodes,
                                    const std::set<std::string>& linked, std::int64_t now_ms)
{
    const auto found = std::find_if(nodes.begin(), nodes.end(), [&](const auto& entry) {
        const auto& node = entry.second;
        const bool up_long_enough = now_ms - node.m_started_ms >= settling_time.count();
        return up_long_enough && linked.count(node.m_incarnation) != 0 &&
               node.m_cpu_millis * 2 >= self.m_cpu_millis * 3;
    });
    return found == nodes.end() ? nullptr : &found->second;
}

} // namespace peridotrudder
