#include "peridotrudder/ownership/owner_contact.hpp"

#include <fmt/format.h>

namespace peridotrudder {

std::string describe_contact(const owner_contact& contact)
{
    return fmt::format("{}{}, heartbeat {} ms ago, {} peers linked",
                       contact.m_linked ? "linked" : "no link", contact.m_gone ? ", gone" : "",
                       contact.m_heartbeat_age.count(), contact.m_linked_peers);
}

} // namespace peridotrudder
