#pragma once

#include "test/ownership/election_simulation.hpp"

#include <cppunit/TestAssert.h>

namespace peridotrudder {

/// Time from a fault until all nodes have an owner again. The longest way is: suspicion (0.7 s), a
/// question (0.1 s), a check of the journal that just sees the last writes (1.3 s), the pause until
/// the next one (1 s), that one (1.3 s), a claim and its repetition (0.4 s).
inline constexpr milliseconds takeover_limit{5'000};
inline constexpr std::uint32_t seeds = 20;
inline constexpr milliseconds settled{2'000};

inline const std::vector<std::size_t> cluster_sizes{3, 9, 34};

inline simulation_options make_options(std::size_t nodes, std::uint32_t seed)
{
    simulation_options options;
    options.m_nodes = nodes;
    options.m_seed = seed;
    return options;
}

inline simulation_options make_slow_options(std::size_t nodes, std::uint32_t seed)
{
    auto options = make_options(nodes, seed);
    options.m_answer_delay = {milliseconds{50}, milliseconds{800}};
    return options;
}

inline std::string describe(const simulation_options& options)
{
    return std::to_string(options.m_nodes) + " nodes, seed " + std::to_string(options.m_seed);
}

using option_maker = std::function<simulation_options(std::size_t, std::uint32_t)>;
using fault = std::function<void(election_simulation&)>;

inline void for_each_run(const std::vector<std::size_t>& sizes, const option_maker& make,
                         const std::function<void(election_simulation&, const std::string&)>& check)
{
    for (const auto nodes : sizes) {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            const auto options = make(nodes, seed);
            election_simulation cluster{options};
            cluster.run_for(settled);
            CPPUNIT_ASSERT_MESSAGE(describe(options) + ": at first", cluster.served());
            check(cluster, describe(options));
        }
    }
}

/// After the fault, another node must own the fleet in time, and keep it.
inline void must_take_over(const std::vector<std::size_t>& sizes, const option_maker& make,
                           const fault& disturb)
{
    for_each_run(sizes, make, [&disturb](auto& cluster, const auto& run) {
        const auto before = cluster.owner();
        disturb(cluster);
        cluster.run_for(takeover_limit);
        CPPUNIT_ASSERT_MESSAGE(run + ": no other owner", cluster.owner() != before);
        CPPUNIT_ASSERT_MESSAGE(run + ": not heard by all", cluster.served());
        const auto claims = cluster.claims();
        cluster.run_for(takeover_limit);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(run + ": needless claims", claims, cluster.claims());
    });
}

/// The fault must not change the owner.
inline void must_keep_owner(const std::vector<std::size_t>& sizes, const option_maker& make,
                            const fault& disturb)
{
    for_each_run(sizes, make, [&disturb](auto& cluster, const auto& run) {
        const auto claims = cluster.claims();
        disturb(cluster);
        cluster.run_for(milliseconds{15'000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(run, claims, cluster.claims());
    });
}

/// Returns the first nodes but for the owner.
inline std::vector<std::size_t> others(const election_simulation& cluster, std::size_t count)
{
    std::vector<std::size_t> nodes;
    for (std::size_t node = 0; nodes.size() < count; ++node) {
        if (node != cluster.owner()) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

inline void cut_owner_from(election_simulation& cluster, std::size_t count)
{
    for (const auto node : others(cluster, count)) {
        cluster.cut(cluster.owner(), node);
    }
}

/// Cuts some nodes off from all others.
inline void cut_off(election_simulation& cluster, const std::vector<std::size_t>& behind)
{
    for (const auto node : behind) {
        for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
            if (std::find(behind.begin(), behind.end(), peer) == behind.end()) {
                cluster.cut(node, peer);
            }
        }
    }
}

} // namespace peridotrudder
