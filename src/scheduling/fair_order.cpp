#include "peridotrudder/scheduling/fair_order.hpp"

#include <algorithm>
#include <tuple>

namespace peridotrudder {

namespace {

std::uint64_t class_of(const fair_job& waiting)
{
    constexpr unsigned priority_shift = 2;
    constexpr unsigned finite_shift = 34;
    const auto& rank = *waiting.m_rank;
    const bool useless = rank.m_punctuality == punctuality::useless;
    return (std::uint64_t{rank.m_finite} << finite_shift) |
           (std::uint64_t{rank.m_priority} << priority_shift) | (useless ? 2U : 0U) |
           (waiting.m_excess ? 1U : 0U);
}

double fraction(std::int64_t used, std::int64_t capacity)
{
    return capacity <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(capacity);
}

} // namespace

double weighted_share(const resources& used, const resources& capacity, double weight)
{
    return std::max({fraction(used.m_cpu_millis, capacity.m_cpu_millis),
                     fraction(used.m_memory_mb, capacity.m_memory_mb),
                     fraction(used.m_accelerators, capacity.m_accelerators)}) /
           weight;
}

fair_order::fair_order(const std::vector<fair_job>& jobs, const std::string& pool,
                       const resources& capacity)
    : m_pool{pool},
      m_capacity{capacity}
{
    m_entries.reserve(jobs.size());
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        const auto& rank = *jobs[index].m_rank;
        m_entries.push_back({jobs[index], index, class_of(jobs[index]), rank.m_punctuality,
                             rank.m_remaining_chain.count(), rank.m_objective_ms});
    }
    std::sort(m_entries.begin(), m_entries.end(), [](const entry& left, const entry& right) {
        const auto key = [](const entry& each) {
            return std::tie(each.m_class, each.m_job.m_account, each.m_punctuality,
                            each.m_remaining_chain_ms, each.m_objective_ms);
        };
        return key(left) != key(right) ? key(left) < key(right)
                                       : *left.m_job.m_rank < *right.m_job.m_rank;
    });
}

double fair_order::share_of(const tenant_queue& queue) const
{
    return weighted_share(*queue.m_used, m_capacity, queue.m_weight);
}

bool fair_order::is_later(const tenant_queue& left, const tenant_queue& right) const
{
    if (left.m_share != right.m_share) {
        return left.m_share > right.m_share;
    }
    return *m_entries[right.m_next].m_job.m_rank < *m_entries[left.m_next].m_job.m_rank;
}

void fair_order::push(const tenant_queue& queue)
{
    m_waiting.push_back(queue);
    std::push_heap(m_waiting.begin(), m_waiting.end(),
                   [this](const auto& left, const auto& right) { return is_later(left, right); });
}

bool fair_order::begin_class()
{
    const auto begin = m_class_end;
    if (begin == m_entries.size()) {
        return false;
    }
    for (auto position = begin;
         position < m_entries.size() && m_entries[position].m_class == m_entries[begin].m_class;
         position = m_class_end) {
        auto* account = m_entries[position].m_job.m_account;
        m_class_end = position;
        while (m_class_end < m_entries.size() &&
               m_entries[m_class_end].m_class == m_entries[begin].m_class &&
               m_entries[m_class_end].m_job.m_account == account) {
            ++m_class_end;
        }
        tenant_queue queue;
        queue.m_next = position;
        queue.m_end = m_class_end;
        queue.m_used = &account->m_used_by_pool[m_pool];
        queue.m_weight = account->m_weight;
        queue.m_share = share_of(queue);
        push(queue);
    }
    return true;
}

bool fair_order::keeps_turn() const
{
    return m_current && (m_waiting.empty() || share_of(*m_current) <= m_waiting.front().m_share);
}

std::optional<std::size_t> fair_order::next()
{
    if (m_current && !keeps_turn()) {
        m_current->m_share = share_of(*m_current);
        push(*m_current);
        m_current.reset();
    }
    if (!m_current) {
        if (m_waiting.empty() && !begin_class()) {
            return std::nullopt;
        }
        std::pop_heap(
            m_waiting.begin(), m_waiting.end(),
            [this](const auto& left, const auto& right) { return is_later(left, right); });
        m_current = m_waiting.back();
        m_waiting.pop_back();
    }
    return m_entries[m_current->m_next].m_index;
}

void fair_order::remove_current()
{
    if (m_current && ++m_current->m_next == m_current->m_end) {
        m_current.reset();
    }
}

} // namespace peridotrudder
