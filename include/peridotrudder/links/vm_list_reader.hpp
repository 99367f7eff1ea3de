#pragma once

/// @file
/// Reads the platform's VM list, which is transferred only when it has changed.

#include "peridotrudder/links/platform_client.hpp"

#include <memory>
#include <string>

namespace peridotrudder {

/// Caches the last list with its entity tag (RFC 9110), so that reading an unchanged list costs a
/// few hundred bytes regardless of its length. Not thread-safe.
class vm_list_reader {
public:
    explicit vm_list_reader(platform_client platform);

    /// Returns the current list; never null.
    tl::expected<std::shared_ptr<const vm_list>, platform_fault> read();

private:
    platform_client m_platform;
    std::string m_entity_tag;
    std::shared_ptr<const vm_list> m_last;
};

} // namespace peridotrudder
