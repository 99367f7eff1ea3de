#include "peridotrudder/telemetry/log_budget.hpp"

namespace peridotrudder {

namespace {

constexpr milliseconds window{1'000};

} // namespace

log_budget log_budget::create(std::uint32_t lines_a_second)
{
    log_budget made;
    made.m_lines_a_second = lines_a_second;
    return made;
}

bool log_budget::allows(std::string_view kind, time_point now)
{
    if (now - m_second >= window) {
        m_second = now;
        m_used = 0;
        m_suppressed_before += m_suppressed_now;
        m_suppressed_now = 0;
        m_seen.clear();
    }
    const bool first = m_seen.find(kind) == m_seen.end();
    if (first) {
        m_seen.emplace(kind);
    }
    if (!first && m_used >= m_lines_a_second) {
        ++m_suppressed_now;
        return false;
    }
    ++m_used;
    return true;
}

std::uint64_t log_budget::take_suppressed_count()
{
    const auto count = m_suppressed_before;
    m_suppressed_before = 0;
    return count;
}

} // namespace peridotrudder
