#include "peridotrudder/routing/call_request.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace peridotrudder {

bool call_request::is_idempotent() const
{
    static constexpr std::array<std::string_view, 6> idempotent{"GET",    "HEAD",    "PUT",
                                                                "DELETE", "OPTIONS", "TRACE"};
    return std::find(idempotent.begin(), idempotent.end(), m_method) != idempotent.end();
}

std::string call_request::route() const
{
    const auto path = m_path.substr(0, m_path.find('?'));
    return m_customer + " " + m_method + " " + m_pool + path;
}

} // namespace peridotrudder
