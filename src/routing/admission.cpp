#include "peridotrudder/routing/admission.hpp"

namespace peridotrudder {

bool admission::enter(std::string_view customer, std::uint32_t limit)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    auto found = m_inside.find(customer);
    if (found == m_inside.end()) {
        found = m_inside.emplace(std::string{customer}, 0).first;
    }
    if (found->second >= limit) {
        return false;
    }
    ++found->second;
    return true;
}

void admission::leave(std::string_view customer)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const auto found = m_inside.find(customer);
    if (found != m_inside.end() && --found->second == 0) {
        m_inside.erase(found);
    }
}

} // namespace peridotrudder
