#include "peridotrudder/membership/view.hpp"

#include "peridotrudder/base/hash.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace peridotrudder {

namespace {

using scored_member = std::pair<std::uint64_t, const member*>;

std::vector<scored_member> score_members(const view& current, std::string_view key)
{
    const auto seed = placement_hash(key);
    std::vector<scored_member> scored;
    scored.reserve(current.m_members.size());
    for (const auto& candidate : current.m_members) {
        scored.emplace_back(placement_hash(candidate.m_incarnation, seed), &candidate);
    }
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        if (left.first != right.first) {
            return left.first > right.first;
        }
        return left.second->m_incarnation < right.second->m_incarnation;
    });
    return scored;
}

bool same_holders(const partition_epoch& epoch, const std::vector<const member*>& ranked)
{
    return std::equal(
        epoch.m_holders.begin(), epoch.m_holders.end(), ranked.begin(), ranked.end(),
        [](const std::string& left, const member* right) { return left == right->m_incarnation; });
}

} // namespace

const member* view::find(std::string_view incarnation) const
{
    const auto found =
        std::find_if(m_members.begin(), m_members.end(), [&](const member& candidate) {
            return candidate.m_incarnation == incarnation;
        });
    return found == m_members.end() ? nullptr : &*found;
}

std::vector<const member*> rank_members(const view& current, std::string_view key,
                                        std::size_t count)
{
    auto scored = score_members(current, key);
    std::vector<const member*> ranked;
    std::set<std::string_view> used_zones;
    while (ranked.size() < count && !scored.empty()) {
        auto next = std::find_if(scored.begin(), scored.end(), [&](const scored_member& candidate) {
            return used_zones.count(candidate.second->m_zone) == 0;
        });
        if (next == scored.end()) {
            // Every remaining member is in a zone already used, so take the best of them.
            next = scored.begin();
        }
        ranked.push_back(next->second);
        used_zones.insert(next->second->m_zone);
        scored.erase(next);
    }
    return ranked;
}

std::uint32_t partition_of(std::string_view customer, std::string_view key)
{
    const auto hash = placement_hash(key, placement_hash(customer));
    return static_cast<std::uint32_t>(hash % partition_count);
}

bool partition_epoch::holds(std::string_view incarnation) const
{
    return std::find(m_holders.begin(), m_holders.end(), incarnation) != m_holders.end();
}

void extend_histories(std::vector<partition_history>& histories, const view& next)
{
    histories.resize(partition_count);
    for (std::uint32_t partition = 0; partition < partition_count; ++partition) {
        auto& history = histories[partition];
        const auto ranked =
            rank_members(next, fmt::format("partition/{}", partition), holders_per_partition);
        if (!history.m_epochs.empty() && same_holders(history.m_epochs.back(), ranked)) {
            continue;
        }
        partition_epoch epoch;
        epoch.m_epoch = next.m_number;
        for (const auto* holder : ranked) {
            epoch.m_holders.push_back(holder->m_incarnation);
        }
        history.m_epochs.push_back(std::move(epoch));
        if (history.m_epochs.size() > max_epochs_kept) {
            history.m_epochs.erase(history.m_epochs.begin());
            history.m_truncated = true;
        }
    }
}

bool has_eviction_quorum(const view& current, const std::vector<std::string>& observers)
{
    std::set<std::string_view> counted;
    for (const auto& observer : observers) {
        if (current.find(observer) != nullptr) {
            counted.insert(observer);
        }
    }
    return counted.size() * 2 > current.m_members.size();
}

} // namespace peridotrudder
