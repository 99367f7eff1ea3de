#include "peridotrudder/links/vm_list_reader.hpp"

namespace peridotrudder {

vm_list_reader::vm_list_reader(platform_client platform)
    : m_platform{std::move(platform)},
      m_last{std::make_shared<const vm_list>()}
{
}

tl::expected<std::shared_ptr<const vm_list>, platform_fault> vm_list_reader::read()
{
    auto answer = m_platform.list_vms(m_entity_tag);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->m_vms) {
        m_last = std::make_shared<const vm_list>(std::move(*answer->m_vms));
        m_entity_tag = std::move(answer->m_entity_tag);
    }
    return m_last;
}

} // namespace peridotrudder
