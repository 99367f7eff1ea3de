#include "peridotrudder/journal/log_follower.hpp"

namespace peridotrudder {

namespace {

constexpr std::size_t max_tail_records = 1024;

} // namespace

follow_result log_follower::take(gsl::span<const logged_record> batch)
{
    auto result = follow_result::unchanged;
    for (const auto& logged : batch) {
        if (logged.m_offset < m_state.next_offset()) {
            continue;
        }
        if (logged.m_offset > m_state.next_offset()) {
            return follow_result::gap;
        }
        fold_record(logged);
        result = follow_result::advanced;
    }
    return result;
}

follow_result log_follower::start(std::uint64_t first_kept, gsl::span<const logged_record> batch)
{
    for (auto logged = batch.rbegin(); logged != batch.rend(); ++logged) {
        const auto* snapshot = std::get_if<snapshot_taken>(&logged->m_record.m_body);
        if (snapshot == nullptr) {
            continue;
        }
        auto state = fleet_state::from_json(snapshot->m_state);
        // A snapshot is usable only if the records after it are still in the log.
        if (state && state->next_offset() >= first_kept) {
            adopt(*state);
            break;
        }
    }
    if (m_state.next_offset() < first_kept) {
        return follow_result::gap;
    }
    return take(batch);
}

bool log_follower::adopt(const fleet_state& state)
{
    if (state.next_offset() <= m_state.next_offset()) {
        return false;
    }
    m_state = state;
    m_tail.clear();
    return true;
}

std::vector<logged_record> log_follower::tail_from(std::uint64_t offset, std::size_t limit) const
{
    std::vector<logged_record> records;
    if (m_tail.empty() || offset < m_tail.front().m_offset) {
        return records;
    }
    for (auto index = offset - m_tail.front().m_offset;
         index < m_tail.size() && records.size() < limit; ++index) {
        records.push_back(m_tail[index]);
    }
    return records;
}

void log_follower::fold_record(const logged_record& logged)
{
    m_state.fold(logged.m_offset, logged.m_record);
    m_tail.push_back(logged);
    if (m_tail.size() > max_tail_records) {
        m_tail.pop_front();
    }
}

} // namespace peridotrudder
