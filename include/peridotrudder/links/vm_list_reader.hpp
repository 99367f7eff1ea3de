#pragma once

/// @file
/// Reads the platform's VM list, and transfers it only when it changed.

#include "peridotrudder/links/platform_client.hpp"

#include <memory>
#include <string>

namespace peridotrudder {

/// Keeps the list read last with its entity tag (RFC 9110), so that an unchanged list costs a few
/// hundred bytes however long it is. Not thread-safe.
class vm_list_reader {
public:
    explicit vm_list_reader(platform_client platform);

    /// Returns the list as it is now; never null.
    tl::expected<std::shared_ptr<const vm_list>, platform_fault> read();

private:
    platform_client m_platform;
    std::string m_entity_tag;
    std::shared_ptr<const vm_list> m_last;
};

} // namespace peridotrudder
