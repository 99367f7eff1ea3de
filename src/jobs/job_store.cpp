#include "peridotrudder/jobs/job_store.hpp"

#include "peridotrudder/base/packed_cbor.hpp"
#include "peridotrudder/jobs/job_cost.hpp"
#include "peridotrudder/jobs/job_reader.hpp"

namespace peridotrudder {

namespace {

constexpr auto header_prefix = job_records::header_prefix;
constexpr auto state_prefix = job_records::state_prefix;

std::string key_of(std::string_view prefix, std::string_view id)
{
    return std::string{prefix}.append(id);
}

} // namespace

job_store job_store::restore(const std::vector<keyed_record>& records, restore_report& report)
{
    auto reader = job_reader::create(records);
    while (!reader.complete()) {
        reader.read(records.size());
    }
    report = reader.report();
    return reader.take_store();
}

bool job_store::add_restored(job restored)
{
    const auto id = restored.header().m_id;
    const auto cost = waiting_cost(restored.spec());
    const bool is_new = m_jobs.emplace(id, std::move(restored)).second;
    m_waiting_bytes += is_new ? cost : 0;
    return is_new;
}

job& job_store::add(job_header header)
{
    const auto id = header.m_id;
    m_waiting_bytes += waiting_cost(header.m_spec);
    m_without_header.insert(id);
    m_dirty.insert(id);
    return m_jobs.emplace(id, job::create(std::move(header))).first->second;
}

job* job_store::find(std::string_view id)
{
    const auto entry = m_jobs.find(id);
    return entry == m_jobs.end() ? nullptr : &entry->second;
}

std::vector<keyed_record> job_store::take_changes()
{
    std::vector<keyed_record> records;
    for (const auto& id : m_dirty) {
        const auto* changed = find(id);
        if (changed == nullptr) {
            continue;
        }
        if (m_without_header.erase(id) != 0) {
            records.push_back({key_of(header_prefix, id), to_packed_cbor(changed->header()), 0});
        }
        records.push_back({key_of(state_prefix, id), changed->encode_state(), 0});
    }
    m_dirty.clear();
    for (const auto& id : m_dropped) {
        records.push_back({key_of(header_prefix, id), std::nullopt, 0});
        records.push_back({key_of(state_prefix, id), std::nullopt, 0});
    }
    m_dropped.clear();
    return records;
}

std::vector<std::string> job_store::expire(std::int64_t ended_before_ms)
{
    std::vector<std::string> expired;
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        const auto& candidate = entry->second;
        const bool expirable = candidate.phase() != job_phase::active &&
                               candidate.placed_tasks() == 0 &&
                               candidate.ended_ms() < ended_before_ms && !dirty(entry->first);
        if (!expirable) {
            ++entry;
            continue;
        }
        m_dropped.push_back(entry->first);
        expired.push_back(entry->first);
        m_waiting_bytes -= waiting_cost(candidate.spec());
        entry = m_jobs.erase(entry);
    }
    return expired;
}

} // namespace peridotrudder
