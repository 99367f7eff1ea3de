#pragma once

/// @file
/// Limits the number of unanswered requests of each customer on one entry.

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Counts each customer's requests from admission to answer. Thread-safe.
class admission {
public:
    /// Admits a request unless `limit` requests of the customer are pending. Returns whether it was
    /// admitted.
    bool enter(std::string_view customer, std::uint32_t limit);

    /// Ends one admitted request of the customer. Does nothing if none is pending.
    void leave(std::string_view customer);

private:
    std::mutex m_mutex;
    std::map<std::string, std::uint32_t, std::less<>> m_pending;
};

} // namespace peridotrudder
