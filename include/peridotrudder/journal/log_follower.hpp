#pragma once

/// @file
/// Follows the log from whatever source has the next records: the platform or another entry.

#include "peridotrudder/journal/fleet_state.hpp"

#include <deque>
#include <gsl/span>
#include <vector>

namespace peridotrudder {

/// What the follower made of a batch of records.
enum class follow_result {
    /// At least one new record was folded.
    advanced,
    /// Nothing in the batch was new.
    unchanged,
    /// The batch begins after the next offset: the records between must be had first.
    gap,
};

/// Folds records in order and keeps the latest ones to pass on to peers.
///
/// Not thread-safe: the owner guards it with its own lock. Pure: does no input or output.
class log_follower {
public:
    /// Folds the records that come next. Records already folded are skipped.
    follow_result take(gsl::span<const logged_record> batch);

    /// Starts from a batch of everything that the log has kept: loads the last snapshot in it,
    /// where there is one, and folds what follows. Returns `gap` when records have expired and no
    /// snapshot covers them.
    follow_result start(std::uint64_t first_kept, gsl::span<const logged_record> batch);

    /// Adopts a peer's state if it is ahead of this one. Returns whether it was.
    bool adopt(const fleet_state& state);

    /// Returns the records from `offset` on, at most `limit`; empty when they are not kept here.
    std::vector<logged_record> tail_from(std::uint64_t offset, std::size_t limit) const;

    const fleet_state& state() const { return m_state; }

private:
    void fold_record(const logged_record& each);

    fleet_state m_state;
    std::deque<logged_record> m_tail;
};

} // namespace peridotrudder
