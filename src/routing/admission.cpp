#include "peridotrudder/routing/admission.hpp"

namespace peridotrudder {

bool admission::enter(std::string_view customer, std::uint32_t limit)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    auto pending = m_pending.find(customer);
    if (pending == m_pending.end()) {
        pending = m_pending.emplace(std::string{customer}, 0).first;
    }
    if (pending->second >= limit) {
        return false;
    }
    ++pending->second;
    return true;
}

void admission::leave(std::string_view customer)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const auto pending = m_pending.find(customer);
    if (pending != m_pending.end() && --pending->second == 0) {
        m_pending.erase(pending);
    }
}

} // namespace peridotrudder
