#include "peridotrudder/telemetry/log_budget.hpp"

#include <utility>

namespace peridotrudder {

namespace {

constexpr milliseconds window{1'000};

} // namespace

log_budget log_budget::create(std::uint32_t max_lines_per_second, kind_set reserved_kinds,
                              kind_set sparse_kinds)
{
    log_budget budget;
    budget.m_max_lines_per_second = max_lines_per_second;
    budget.m_reserved_kinds = std::move(reserved_kinds);
    budget.m_sparse_kinds = std::move(sparse_kinds);
    return budget;
}

bool log_budget::allows(std::string_view kind, time_point now)
{
    if (now - m_second_start >= window) {
        m_second_start = now;
        m_lines_this_second = 0;
        m_reserved_lines_this_second = 0;
        m_suppressed_before += m_suppressed_now;
        m_suppressed_now = 0;
        m_kinds_this_second.clear();
    }
    const bool first = m_kinds_this_second.find(kind) == m_kinds_this_second.end();
    if (first) {
        m_kinds_this_second.emplace(kind);
    }
    if (m_sparse_kinds.find(kind) != m_sparse_kinds.end()) {
        m_suppressed_now += first ? 0 : 1;
        return first;
    }
    const bool reserved = m_reserved_kinds.find(kind) != m_reserved_kinds.end();
    auto& lines = reserved ? m_reserved_lines_this_second : m_lines_this_second;
    if (!first && lines >= m_max_lines_per_second) {
        ++m_suppressed_now;
        return false;
    }
    ++lines;
    return true;
}

std::uint64_t log_budget::take_suppressed_count()
{
    const auto count = m_suppressed_before;
    m_suppressed_before = 0;
    return count;
}

} // namespace peridotrudder
