#include "peridotrudder/routing/retry_budget.hpp"

#include "peridotrudder/contracts/contract.hpp"

#include <algorithm>

namespace peridotrudder {

retry_budget::retry_budget(std::uint32_t retry_ppm, std::uint32_t burst)
    : m_earned_per_success{retry_ppm},
      m_limit{std::uint64_t{burst} * parts_per_million},
      m_balance{m_limit}
{
}

void retry_budget::earn()
{
    m_balance = std::min(m_limit, m_balance + m_earned_per_success);
}

bool retry_budget::spend()
{
    if (m_balance < parts_per_million) {
        return false;
    }
    m_balance -= parts_per_million;
    return true;
}

} // namespace peridotrudder
