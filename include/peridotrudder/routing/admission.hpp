#pragma once

/// @file
/// Bounds how many requests of each customer an entry holds.

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace peridotrudder {

/// Counts the requests of each customer that are not answered yet. Thread-safe.
class admission {
public:
    /// Counts a request in, unless `limit` of the customer's are in already.
    bool enter(std::string_view customer, std::uint32_t limit);

    /// Counts a request out.
    void leave(std::string_view customer);

private:
    std::mutex m_mutex;
    std::map<std::string, std::uint32_t, std::less<>> m_inside;
};

} // namespace peridotrudder
