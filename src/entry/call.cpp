#include "peridotrudder/entry/call.hpp"

namespace peridotrudder {

// The methods that RFC 9110 defines as idempotent.
bool call::is_idempotent() const
{
    return m_method == "GET" || m_method == "HEAD" || m_method == "PUT" || m_method == "DELETE" ||
           m_method == "OPTIONS" || m_method == "TRACE";
}

std::string call::route() const
{
    const auto path = m_path.substr(0, m_path.find('?'));
    return m_customer + " " + m_method + " " + m_pool + path;
}

} // namespace peridotrudder
