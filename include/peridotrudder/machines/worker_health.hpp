#pragma once

/// @file
/// Ejects workers that fail repeatedly (outlier ejection).

#include "peridotrudder/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Tracks the health of one pool's workers, as one entry observes it.
///
/// Consecutive failures eject a worker for a time that doubles with each ejection. At most half of
/// the pool is ejected: if more workers fail, the workers are unlikely to be the cause. Has no side
/// effects; not thread-safe.
class worker_health {
public:
    /// Returns a tracker that ejects a worker after `failures_to_eject` consecutive failures.
    static worker_health create(std::uint32_t failures_to_eject);

    void succeeded(std::string_view vm);

    /// Records a failure. At most half of `pool_size` workers are ejected at once.
    void failed(std::string_view vm, std::size_t pool_size, time_point now);

    /// Returns whether the worker may be given work.
    bool usable(std::string_view vm, time_point now) const;

    /// Returns the number of workers ejected now.
    std::size_t ejected(time_point now) const;

private:
    struct record {
        std::uint32_t m_failures_in_a_row{0};
        std::uint32_t m_ejections{0};
        time_point m_ejected_until;
    };

    std::uint32_t m_failures_to_eject{5};
    std::map<std::string, record, std::less<>> m_records;
};

} // namespace peridotrudder
