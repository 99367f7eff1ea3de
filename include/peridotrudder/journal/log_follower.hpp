#pragma once

/// @file
/// Folds batches of log records from the platform or from another entry into a fleet state.

#include "peridotrudder/journal/fleet_state.hpp"

#include <deque>
#include <gsl/span>
#include <vector>

namespace peridotrudder {

/// Effect of a batch of records on a follower.
enum class follow_result {
    /// At least one new record was folded.
    advanced,
    /// Nothing in the batch was new.
    unchanged,
    /// The batch skips offsets: the records between must be fetched first.
    gap,
};

/// Folds records in order and keeps the latest ones so that peers can catch up.
///
/// Not thread-safe; the owner guards it with a lock. Does no input or output.
class log_follower {
public:
    /// Folds the records from the next offset on, and skips those already folded.
    follow_result take(gsl::span<const logged_record> batch);

    /// Starts from all records that the log still holds, the first at `first_kept`: loads the last
    /// usable snapshot among them, if any, and folds the rest. Returns `gap` if records have
    /// expired that no snapshot covers.
    follow_result start(std::uint64_t first_kept, gsl::span<const logged_record> batch);

    /// Replaces this state by a peer's if that is ahead, and drops the kept records. Returns
    /// whether it did.
    bool adopt(const fleet_state& state);

    /// Returns up to `limit` records from `offset` on, or none if that record is not kept.
    std::vector<logged_record> tail_from(std::uint64_t offset, std::size_t limit) const;

    const fleet_state& state() const { return m_state; }

private:
    void fold_record(const logged_record& logged);

    fleet_state m_state;
    std::deque<logged_record> m_tail;
};

} // namespace peridotrudder
