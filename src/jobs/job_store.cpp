#include "peridotrudder/jobs/job_store.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

namespace peridotrudder {

namespace {

constexpr std::string_view header_prefix = "job/";
constexpr std::string_view state_prefix = "run/";

bool begins_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

std::string key_of(std::string_view prefix, std::string_view id)
{
    return std::string{prefix}.append(id);
}

tl::expected<job, decode_error> read_job(const std::vector<std::uint8_t>& header,
                                         const std::vector<std::uint8_t>* state)
{
    auto read = from_packed_cbor<job_header>(header);
    if (!read) {
        return tl::make_unexpected(read.error());
    }
    if (check_spec(read->m_spec) != spec_fault::none) {
        return tl::make_unexpected(decode_error{decode_fault::out_of_range, "spec"});
    }
    return state == nullptr ? job::create(std::move(*read))
                            : job::restore(std::move(*read), *state);
}

} // namespace

job_store job_store::restore(const std::vector<keyed_record>& records, restore_report& report)
{
    std::map<std::string_view, const std::vector<std::uint8_t>*> states;
    for (const auto& record : records) {
        if (record.m_value && begins_with(record.m_key, state_prefix)) {
            states[std::string_view{record.m_key}.substr(state_prefix.size())] = &*record.m_value;
        }
    }
    job_store store;
    for (const auto& record : records) {
        if (!record.m_value || !begins_with(record.m_key, header_prefix)) {
            continue;
        }
        const auto id = record.m_key.substr(header_prefix.size());
        const auto state = states.find(id);
        auto read = read_job(*record.m_value, state == states.end() ? nullptr : state->second);
        if (!read || read->header().m_id != id) {
            report.m_damaged.push_back(record.m_key);
            continue;
        }
        store.m_jobs.emplace(id, std::move(*read));
    }
    report.m_jobs = store.m_jobs.size();
    return store;
}

job& job_store::add(job_header header)
{
    const auto id = header.m_id;
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
        entry = m_jobs.erase(entry);
    }
    return expired;
}

} // namespace peridotrudder
