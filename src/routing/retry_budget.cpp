#include "peridotrudder/routing/retry_budget.hpp"

#include "peridotrudder/contracts/contract.hpp"

#include <algorithm>

namespace peridotrudder {

retry_budget::retry_budget(std::uint32_t retry_ppm, std::uint32_t burst)
    : m_ppm_per_success{retry_ppm},
      m_max_balance_ppm{std::uint64_t{burst} * parts_per_million},
      m_balance_ppm{m_max_balance_ppm}
{
}

void retry_budget::earn()
{
    m_balance_ppm = std::min(m_max_balance_ppm, m_balance_ppm + m_ppm_per_success);
}

bool retry_budget::spend()
{
    if (m_balance_ppm < parts_per_million) {
        return false;
    }
    m_balance_ppm -= parts_per_million;
    return true;
}

} // namespace peridotrudder
