#include "peridotrudder/ownership/member_list.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

#include <fmt/format.h>

#include <set>
#include <tuple>

namespace peridotrudder {

namespace {

bool is_node_key(const std::string& key)
{
    return key.rfind(node_key_prefix, 0) == 0;
}

std::string describe_process(const node_record& node)
{
    return fmt::format("{} at {}:{}", node.m_incarnation, node.m_address, node.m_port);
}

const node_record* find_node(const std::map<std::string, node_record>& nodes,
                             const std::string& name)
{
    const auto found = nodes.find(name);
    return found == nodes.end() ? nullptr : &found->second;
}

} // namespace

bool operator==(const node_record& left, const node_record& right)
{
    const auto fields_of = [](const node_record& node) {
        return std::tie(node.m_name, node.m_incarnation, node.m_address, node.m_port,
                        node.m_started_ms, node.m_cpu_millis);
    };
    return fields_of(left) == fields_of(right);
}

std::vector<node_record> member_list::take(const std::vector<keyed_record>& records, bool snapshot)
{
    const auto before = m_nodes;
    if (snapshot) {
        m_nodes.clear();
        m_offsets.clear();
    }
    std::set<std::string> names;
    for (const auto& record : records) {
        if (is_node_key(record.m_key)) {
            take_change(record);
            names.insert(record.m_key.substr(node_key_prefix.size()));
        }
    }
    // The first snapshot is one line, since it may hold many nodes.
    if (snapshot && !m_read) {
        m_read = true;
        m_log("nodes_read", std::to_string(m_nodes.size()));
        return {};
    }
    for (const auto& [name, node] : before) {
        names.insert(name);
    }
    for (const auto& name : names) {
        report_change(name, find_node(before, name), find_node(m_nodes, name));
    }
    std::vector<node_record> former;
    for (const auto& [name, node] : before) {
        const auto* now_registered = find_node(m_nodes, name);
        if (now_registered == nullptr || now_registered->m_incarnation != node.m_incarnation) {
            former.push_back(node);
        }
    }
    return former;
}

void member_list::take_change(const keyed_record& record)
{
    const auto name = record.m_key.substr(node_key_prefix.size());
    if (!record.m_value) {
        m_nodes.erase(name);
        m_offsets.erase(name);
        return;
    }
    const auto node = from_packed_cbor<node_record>(*record.m_value);
    if (!node) {
        m_log("node_record_unreadable", record.m_key);
        return;
    }
    m_nodes[name] = *node;
    m_offsets[name] = record.m_offset;
}

std::uint64_t member_list::offset_of(const std::string& name) const
{
    const auto found = m_offsets.find(name);
    return found == m_offsets.end() ? 0 : found->second;
}

void member_list::report_change(const std::string& name, const node_record* before,
                                const node_record* after) const
{
    if (before == nullptr && after != nullptr) {
        m_log("node_added", describe_process(*after));
    }
    if (before != nullptr && after == nullptr) {
        m_log("node_deleted", fmt::format("{}, {}", name, describe_process(*before)));
    }
    if (before != nullptr && after != nullptr && !(*before == *after)) {
        m_log("node_changed",
              fmt::format("{}, was {}", describe_process(*after), describe_process(*before)));
    }
}

} // namespace peridotrudder
