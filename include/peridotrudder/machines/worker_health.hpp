#pragma once

/// @file
/// Ejects workers that fail everything they start.

#include "peridotrudder/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Watches the workers of one pool, as one entry sees them.
///
/// A run of failures ejects a worker for a time that doubles with each ejection. At most half of
/// the pool is ejected: with more failing the cause is unlikely to be the workers. Pure; not
/// thread-safe.
class worker_health {
public:
    /// Returns a watch that ejects after so many failures in a row.
    static worker_health create(std::uint32_t failures_to_eject);

    void succeeded(std::string_view vm);

    /// Takes a failure; `pool_size` is the number of workers that the cap is counted from.
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
