#pragma once

/// @file
/// Decides which registration the owner deletes, because its process can't be reached any more.

#include "peridotrudder/base/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotrudder {

struct removal_options {
    /// Time without a link after which a process may be removed.
    milliseconds m_remove_after{30'000};
    /// How long the peers' answers are waited for.
    milliseconds m_ask_timeout{1'000};
    /// Pause until the peers are asked again about the same process.
    milliseconds m_ask_interval{5'000};
    /// A longer time between two looks starts all periods anew: nobody watched in between.
    milliseconds m_longest_gap{2'000};
};

/// A registered process, and whether the owner has a link to it.
struct watched_process {
    std::string m_incarnation;
    bool m_linked{false};
};

/// What is to be done now about one process; the others follow.
struct removal_step {
    enum class action { none, ask_peers, remove };
    action m_action{action::none};
    std::string m_incarnation;
    /// Number of the question, for the peers' answers.
    std::uint64_t m_number{0};
};

/// Watches for how long processes are out of reach, while its node is the owner.
///
/// One node's view is not enough: a process is removed only if no peer that answered has a link to
/// it, and if most of the linked peers answered. Without a linked peer nobody is removed, since the
/// owner itself is then most likely cut off. Has no side effects; not thread-safe.
class member_removal {
public:
    explicit member_removal(removal_options options) : m_options{options} {}

    /// Returns the next step. Called often, with all registered processes but the owner's.
    removal_step tick(const std::vector<watched_process>& processes, time_point now);
    /// Takes a peer's answer to a question.
    void peer_view(const std::string& peer, std::uint64_t number, bool linked);
    /// Forgets everything: the node isn't the owner.
    void reset();

private:
    struct question {
        std::string m_incarnation;
        std::uint64_t m_number{0};
        time_point m_asked_at;
        std::set<std::string> m_asked;
        std::map<std::string, bool> m_answers;
    };

    void watch(const std::vector<watched_process>& processes, time_point now);
    removal_step next_question(const std::vector<watched_process>& processes, time_point now);
    removal_step judge(time_point now);

    removal_options m_options;
    /// From when on a process has been out of reach, by incarnation.
    std::map<std::string, time_point> m_unlinked_since;
    /// Until when the peers aren't asked again about a process.
    std::map<std::string, time_point> m_ask_again_at;
    std::optional<time_point> m_looked_at;
    std::optional<question> m_question;
    std::uint64_t m_last_number{0};
};

} // namespace peridotrudder
