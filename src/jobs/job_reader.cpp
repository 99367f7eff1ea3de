#include "peridotrudder/jobs/job_reader.hpp"

#include "peridotrudder/base/packed_cbor.hpp"

#include <algorithm>
#include <utility>

namespace peridotrudder {

namespace {

using job_records::header_prefix;
using job_records::state_prefix;

/// Records that are looked at only, at the cost of less than one job that is restored.
constexpr std::size_t records_per_job = 16;

bool begins_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
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

job_reader job_reader::create(std::vector<keyed_record> records)
{
    return job_reader{std::move(records)};
}

job_reader::job_reader(std::vector<keyed_record> records) : m_records{std::move(records)}
{
    m_states.reserve(m_records.size());
}

std::size_t job_reader::read(std::size_t max_jobs)
{
    std::size_t scanned = index_states(max_jobs * records_per_job);
    std::size_t restored = 0;
    const auto used = [&] { return restored + scanned / records_per_job; };
    while (m_next_state == m_records.size() && !complete() && used() < max_jobs) {
        const auto& record = m_records[m_next_header++];
        if (!record.m_value || !begins_with(record.m_key, header_prefix)) {
            ++scanned;
            continue;
        }
        restore_job(record);
        ++restored;
    }
    return used();
}

std::size_t job_reader::index_states(std::size_t max_records)
{
    const auto begin = m_next_state;
    const auto end = begin + std::min(max_records, m_records.size() - begin);
    for (; m_next_state < end; ++m_next_state) {
        const auto& record = m_records[m_next_state];
        if (record.m_value && begins_with(record.m_key, state_prefix)) {
            m_states[std::string_view{record.m_key}.substr(state_prefix.size())] = &*record.m_value;
        }
    }
    return end - begin;
}

void job_reader::restore_job(const keyed_record& record)
{
    const auto id = std::string_view{record.m_key}.substr(header_prefix.size());
    const auto state = m_states.find(id);
    auto read = read_job(*record.m_value, state == m_states.end() ? nullptr : state->second);
    if (!read || read->header().m_id != id) {
        m_report.m_damaged.push_back(record.m_key);
        return;
    }
    m_report.m_jobs += m_store.add_restored(std::move(*read)) ? 1 : 0;
}

job_store job_reader::take_store()
{
    return std::move(m_store);
}

} // namespace peridotrudder
