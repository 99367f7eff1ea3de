#pragma once

/// @file
/// What each tenant's runs use on all workers, and what its quota leaves.

#include "peridotrudder/base/clock.hpp"
#include "peridotrudder/tenants/tenant_directory.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotrudder {

/// Returns the resources of a number of equal tasks, or the largest representable ones.
resources times(const resources& each, std::uint32_t count);

/// Usage, quota and weight of one tenant. Jobs without a tenant share an account without a name.
struct tenant_account {
    std::string m_tenant;
    /// In use by all runs that may exist, with the declared CPU of best-effort tasks.
    resources m_used;
    /// The same by the pool that the runs were placed in.
    std::map<std::string, resources, std::less<>> m_used_by_pool;
    /// A resource of zero has no limit.
    resources m_quota;
    /// Positive.
    double m_weight{1.0};
    /// When a start was last withheld because of the quota, while the tenant counts as waiting.
    std::optional<time_point> m_waited_at;

    /// Returns whether runs with these resources may be added.
    bool has_room_for(const resources& required) const;
};

/// What one run adds to its tenant's usage, for as long as this object exists. A copy is another
/// charge. Empty if default-constructed.
class quota_charge {
public:
    quota_charge() = default;
    quota_charge(std::shared_ptr<tenant_account> account, std::string_view pool,
                 const resources& amount);
    quota_charge(const quota_charge& other);
    quota_charge(quota_charge&& other) noexcept;
    quota_charge& operator=(const quota_charge& other);
    quota_charge& operator=(quota_charge&& other) noexcept;
    ~quota_charge();

    /// Returns the charge in a copy of its account. The copy's usage has it already.
    quota_charge in_copy(std::shared_ptr<tenant_account> account) const;

    const resources& amount() const { return m_amount; }
    const tenant_account* account() const { return m_account.get(); }

private:
    void add(const resources& amount);
    void swap(quota_charge& other) noexcept;

    std::shared_ptr<tenant_account> m_account;
    resources* m_in_pool{nullptr};
    resources m_amount;
};

/// A tenant that has begun or ceased to wait for its quota.
struct quota_wait_change {
    std::string m_tenant;
    bool m_waits{false};
    resources m_used;
    resources m_quota;
    /// Of the usage, that of runs which no session has and which may still be on workers.
    resources m_kept;
};

/// Accounts of all tenants. Charges keep them up to date, so that a check takes constant time.
///
/// Without tenants in the configuration there is no limit. Before the first configuration, jobs of
/// tenants may not start, as their quotas are unknown. Does no I/O. Not thread-safe.
///
///     auto charge = ledger.charge("acme", "pool", step.m_task_resources); // with the run
///     if (ledger.may_start("acme", required)) { ... }
class quota_ledger {
public:
    using account_map = std::unordered_map<std::string, std::shared_ptr<tenant_account>>;

    /// Returns a ledger with accounts of its own and the same usage. The charges of runs in
    /// sessions remain with this one.
    quota_ledger detached_copy() const;

    /// Applies the quotas and weights of a configuration. Usage remains.
    void set_tenants(const tenant_directory& tenants);
    /// Returns whether the configuration has tenants.
    bool enabled() const { return m_mode == mode::enabled; }

    /// Returns a tenant's account; valid for the ledger's lifetime. Jobs without a tenant have the
    /// name "".
    tenant_account& account_of(const std::string& tenant);
    quota_charge charge(const std::string& tenant, std::string_view pool, const resources& amount);

    /// Returns whether the tenant's quota allows to start runs with these resources in total.
    bool may_start(const std::string& tenant, const resources& required);
    bool may_start(const tenant_account& account, const resources& required) const;
    /// Returns whether the tenant's usage is within its quota.
    bool is_within_quota(const tenant_account& account) const;
    /// Returns whether the quota allows such a start if nothing else runs.
    bool may_ever_start(const tenant_account& account, const resources& required) const;

    /// Keeps the charge of a run that no session has any more and that may still be on a worker.
    /// Its start may be carried out until `open_until`; at `over_at` the run is certainly over.
    void keep(quota_charge charge, const std::string& worker, time_point open_until,
              time_point over_at);
    /// Ends kept charges of a worker that has listed all its runs in the answer to a hold that was
    /// sent at a time: runs that it listed have charges of their own.
    void worker_listed_runs(const std::string& worker, time_point sent_at);
    /// Ends kept charges of runs that are certainly over.
    void expire(time_point now);

    /// Returns what the kept charges add to the tenant's usage.
    resources kept_of(const tenant_account& account) const;

    /// Notes that a start was withheld because of the tenant's quota.
    void note_wait(tenant_account& account, time_point now);
    /// Returns the tenants that have begun to wait since the last call, and those that have not
    /// waited for a few seconds.
    std::vector<quota_wait_change> take_wait_changes(time_point now);

    /// By tenant.
    const account_map& accounts() const { return m_accounts; }

private:
    enum class mode { unknown, disabled, enabled };

    struct kept_charge {
        quota_charge m_charge;
        time_point m_open_until;
        time_point m_over_at;
    };

    const std::shared_ptr<tenant_account>& find_or_add(const std::string& tenant);

    mode m_mode{mode::unknown};
    tenant_directory m_tenants;
    account_map m_accounts;
    /// By worker. Few in the long run: a run is given up with an open start only when a worker
    /// restarts or an answer is lost. After a takeover, all that the records name.
    std::map<std::string, std::vector<kept_charge>> m_kept;
    std::vector<quota_wait_change> m_wait_changes;
    /// Tenants that count as waiting.
    std::map<std::string, tenant_account*> m_waiting;
};

} // namespace peridotrudder
