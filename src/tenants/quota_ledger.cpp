#include "peridotrudder/tenants/quota_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace peridotrudder {

namespace {

/// A tenant at its quota starts a task whenever another one ends, so it ceases to wait only after a
/// time. It bounds the log lines, too.
constexpr milliseconds wait_end_delay{5'000};

bool is_within(std::int64_t required, std::int64_t used, std::int64_t quota)
{
    return quota == 0 || required <= quota - used;
}

std::int64_t multiply(std::int64_t value, std::uint32_t count)
{
    constexpr auto largest = std::numeric_limits<std::int64_t>::max();
    return count != 0 && value > largest / count ? largest : value * count;
}

bool is_within(const resources& required, const resources& used, const resources& quota)
{
    return is_within(required.m_cpu_millis, used.m_cpu_millis, quota.m_cpu_millis) &&
           is_within(required.m_memory_mb, used.m_memory_mb, quota.m_memory_mb) &&
           is_within(required.m_accelerators, used.m_accelerators, quota.m_accelerators);
}

} // namespace

resources times(const resources& each, std::uint32_t count)
{
    return {multiply(each.m_cpu_millis, count), multiply(each.m_memory_mb, count),
            multiply(each.m_accelerators, count)};
}

bool tenant_account::has_room_for(const resources& required) const
{
    return is_within(required, m_used, m_quota);
}

quota_charge::quota_charge(std::shared_ptr<tenant_account> account, std::string_view pool,
                           const resources& amount)
    : m_account{std::move(account)},
      m_amount{amount}
{
    auto& pools = m_account->m_used_by_pool;
    auto position = pools.find(pool);
    if (position == pools.end()) {
        position = pools.emplace(std::string{pool}, resources{}).first;
    }
    m_in_pool = &position->second;
    add(m_amount);
}

quota_charge::quota_charge(const quota_charge& other)
    : m_account{other.m_account},
      m_in_pool{other.m_in_pool},
      m_amount{other.m_amount}
{
    add(m_amount);
}

quota_charge::quota_charge(quota_charge&& other) noexcept
    : m_account{std::move(other.m_account)},
      m_in_pool{std::exchange(other.m_in_pool, nullptr)},
      m_amount{std::exchange(other.m_amount, {})}
{
}

quota_charge& quota_charge::operator=(const quota_charge& other)
{
    quota_charge copy{other};
    swap(copy);
    return *this;
}

quota_charge& quota_charge::operator=(quota_charge&& other) noexcept
{
    quota_charge moved{std::move(other)};
    swap(moved);
    return *this;
}

quota_charge::~quota_charge()
{
    add(resources{} - m_amount);
}

quota_charge quota_charge::in_copy(std::shared_ptr<tenant_account> account) const
{
    quota_charge copy;
    const auto& pools = m_account->m_used_by_pool;
    const auto pool = std::find_if(pools.begin(), pools.end(), [this](const auto& entry) {
        return &entry.second == m_in_pool;
    });
    copy.m_in_pool = &account->m_used_by_pool[pool->first];
    copy.m_account = std::move(account);
    copy.m_amount = m_amount;
    return copy;
}

void quota_charge::swap(quota_charge& other) noexcept
{
    std::swap(m_account, other.m_account);
    std::swap(m_in_pool, other.m_in_pool);
    std::swap(m_amount, other.m_amount);
}

void quota_charge::add(const resources& amount)
{
    if (m_account != nullptr) {
        m_account->m_used = m_account->m_used + amount;
        *m_in_pool = *m_in_pool + amount;
    }
}

quota_ledger quota_ledger::detached_copy() const
{
    quota_ledger copy;
    copy.m_mode = m_mode;
    copy.m_tenants = m_tenants;
    for (const auto& [name, account] : m_accounts) {
        copy.m_accounts.emplace(name, std::make_shared<tenant_account>(*account));
    }
    for (const auto& [worker, charges] : m_kept) {
        for (const auto& kept : charges) {
            const auto* account = kept.m_charge.account();
            if (account != nullptr) {
                copy.m_kept[worker].push_back(
                    {kept.m_charge.in_copy(copy.m_accounts.at(account->m_tenant)),
                     kept.m_open_until, kept.m_over_at});
            }
        }
    }
    return copy;
}

void quota_ledger::set_tenants(const tenant_directory& tenants)
{
    m_mode = tenants.enabled() ? mode::enabled : mode::disabled;
    m_tenants = tenants;
    for (auto& [name, account] : m_accounts) {
        account->m_quota = {};
        account->m_weight = tenants.share_weight(name);
    }
    for (const auto& tenant : tenants.tenants()) {
        // The account without a name is that of jobs without a tenant.
        if (!tenant.m_name.empty()) {
            auto& account = account_of(tenant.m_name);
            account.m_quota = tenant.m_quota;
            account.m_weight = tenants.share_weight(tenant.m_name);
        }
    }
}

const std::shared_ptr<tenant_account>& quota_ledger::find_or_add(const std::string& tenant)
{
    auto position = m_accounts.find(tenant);
    if (position == m_accounts.end()) {
        auto account = std::make_shared<tenant_account>();
        account->m_tenant = tenant;
        account->m_weight = m_tenants.share_weight(tenant);
        position = m_accounts.emplace(account->m_tenant, account).first;
    }
    return position->second;
}

tenant_account& quota_ledger::account_of(const std::string& tenant)
{
    return *find_or_add(tenant);
}

quota_charge quota_ledger::charge(const std::string& tenant, std::string_view pool,
                                  const resources& amount)
{
    return {find_or_add(tenant), pool, amount};
}

bool quota_ledger::may_start(const std::string& tenant, const resources& required)
{
    return may_start(account_of(tenant), required);
}

bool quota_ledger::may_start(const tenant_account& account, const resources& required) const
{
    switch (m_mode) {
    case mode::unknown:
        return account.m_tenant.empty();
    case mode::disabled:
        return true;
    case mode::enabled:
        return account.has_room_for(required);
    }
    return false;
}

bool quota_ledger::is_within_quota(const tenant_account& account) const
{
    return may_start(account, {});
}

bool quota_ledger::may_ever_start(const tenant_account& account, const resources& required) const
{
    return !enabled() || is_within(required, {}, account.m_quota);
}

void quota_ledger::keep(quota_charge charge, const std::string& worker, time_point open_until,
                        time_point over_at)
{
    m_kept[worker].push_back({std::move(charge), open_until, over_at});
}

void quota_ledger::worker_listed_runs(const std::string& worker, time_point sent_at)
{
    const auto found = m_kept.find(worker);
    if (found == m_kept.end()) {
        return;
    }
    auto& kept = found->second;
    kept.erase(std::remove_if(kept.begin(), kept.end(),
                              [sent_at](const auto& one) { return one.m_open_until <= sent_at; }),
               kept.end());
    if (kept.empty()) {
        m_kept.erase(found);
    }
}

void quota_ledger::expire(time_point now)
{
    for (auto entry = m_kept.begin(); entry != m_kept.end();) {
        auto& kept = entry->second;
        kept.erase(std::remove_if(kept.begin(), kept.end(),
                                  [now](const auto& one) { return one.m_over_at <= now; }),
                   kept.end());
        entry = kept.empty() ? m_kept.erase(entry) : std::next(entry);
    }
}

resources quota_ledger::kept_of(const tenant_account& account) const
{
    resources total;
    for (const auto& [worker, charges] : m_kept) {
        for (const auto& kept : charges) {
            if (kept.m_charge.account() == &account) {
                total = total + kept.m_charge.amount();
            }
        }
    }
    return total;
}

void quota_ledger::note_wait(tenant_account& account, time_point now)
{
    if (!account.m_waited_at) {
        m_wait_changes.push_back(
            {account.m_tenant, true, account.m_used, account.m_quota, kept_of(account)});
        m_waiting.emplace(account.m_tenant, &account);
    }
    account.m_waited_at = now;
}

std::vector<quota_wait_change> quota_ledger::take_wait_changes(time_point now)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        auto& account = *entry->second;
        if (now - *account.m_waited_at < wait_end_delay) {
            ++entry;
            continue;
        }
        account.m_waited_at.reset();
        m_wait_changes.push_back(
            {account.m_tenant, false, account.m_used, account.m_quota, kept_of(account)});
        entry = m_waiting.erase(entry);
    }
    return std::exchange(m_wait_changes, {});
}

} // namespace peridotrudder
