#include "peridotrudder/scheduling/scheduler_state.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace peridotrudder {

std::string to_text(const task_ref& task)
{
    return fmt::format("{}.{}.{}", task.m_occurrence, task.m_step, task.m_index);
}

run_class class_of(const job& source, std::uint32_t step)
{
    const auto& spec = source.spec().m_steps[step];
    return {queue_key(source.header().m_queue), spec.m_image, spec.m_task_resources};
}

namespace {

/// Lower than for forwarded calls, because a worker that fails every run at once becomes free at
/// once and attracts more work.
constexpr std::uint32_t failed_runs_to_eject = 2;

} // namespace

worker_session* scheduler_state::find_worker(std::string_view id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

worker_session* scheduler_state::find_instance(const worker_instance& instance)
{
    auto* session = find_worker(instance.m_worker);
    return session != nullptr && session->instance() == instance ? session : nullptr;
}

void scheduler_state::start_when_recorded(const worker_instance& instance, const run_key& key,
                                          std::uint32_t run)
{
    m_effects.emplace_back(start_effect{instance, key, run});
    m_orders.announce_start(instance.m_worker);
}

const queue_config& scheduler_state::queue_of(const job_header& header) const
{
    const auto* configured = m_config.find_queue(queue_key(header.m_queue));
    return configured != nullptr ? *configured : header.m_queue;
}

tenant_account& scheduler_state::account_of(const job_header& header)
{
    static const std::string no_tenant;
    return m_quotas.account_of(header.m_tenant ? header.m_tenant->m_name : no_tenant);
}

quota_charge scheduler_state::charge_for(const job& target, std::uint32_t step)
{
    const auto& header = target.header();
    return m_quotas.charge(account_of(header).m_tenant, queue_of(header).m_pool,
                           target.spec().m_steps[step].m_task_resources);
}

bool scheduler_state::quota_allows(tenant_account& account, const resources& required,
                                   time_point now)
{
    if (m_quotas.may_start(account, required)) {
        return true;
    }
    if (m_quotas.enabled()) {
        m_quotas.note_wait(account, now);
    }
    return false;
}

void scheduler_state::log_quota_waits(time_point now)
{
    for (const auto& change : m_quotas.take_wait_changes(now)) {
        log(change.m_waits ? "quota_wait_begun" : "quota_wait_ended", "", "",
            fmt::format("tenant {} uses {} of {} millicores, {} of {} MB, {} of {} accelerators; "
                        "{} millicores, {} MB, {} accelerators of it for runs that may still last",
                        change.m_tenant, change.m_used.m_cpu_millis, change.m_quota.m_cpu_millis,
                        change.m_used.m_memory_mb, change.m_quota.m_memory_mb,
                        change.m_used.m_accelerators, change.m_quota.m_accelerators,
                        change.m_kept.m_cpu_millis, change.m_kept.m_memory_mb,
                        change.m_kept.m_accelerators));
    }
}

bool scheduler_state::has_stranger(const run_key& key)
{
    const auto stranger = m_strangers.find(key);
    if (stranger == m_strangers.end()) {
        return false;
    }
    auto& workers = stranger->second;
    for (auto id = workers.begin(); id != workers.end();) {
        auto* session = find_worker(*id);
        const bool is_there =
            session != nullptr && (session->find(key) != nullptr || session->has_run_beside(key));
        id = is_there ? std::next(id) : workers.erase(id);
    }
    if (!workers.empty()) {
        return true;
    }
    m_strangers.erase(stranger);
    return false;
}

worker_health& scheduler_state::health_of(const std::string& pool)
{
    const auto found = m_health.find(pool);
    if (found != m_health.end()) {
        return found->second;
    }
    return m_health.emplace(pool, worker_health::create(failed_runs_to_eject)).first->second;
}

std::size_t scheduler_state::pool_size(std::string_view pool) const
{
    return static_cast<std::size_t>(
        std::count_if(m_workers.begin(), m_workers.end(), [pool](const auto& entry) {
            return entry.second.listed() && entry.second.report().m_pool == pool;
        }));
}

void scheduler_state::changed(const std::string& job_id)
{
    m_job_store.mark_changed(job_id);
    m_schedulable_jobs.insert(job_id);
}

void scheduler_state::log(std::string_view event, const std::string& job, const std::string& worker,
                          std::string detail) const
{
    m_ports.m_log({event, job, worker, std::move(detail), std::nullopt});
}

void scheduler_state::log_run(std::string_view event, const run_key& key, const std::string& worker,
                              std::string_view detail) const
{
    log(event, key.m_job, worker, fmt::format("{} {}", to_text(key.m_task), detail));
}

void scheduler_state::log_timed(std::string_view event, const std::string& job,
                                const std::string& worker, std::string detail,
                                milliseconds took) const
{
    m_ports.m_log({event, job, worker, std::move(detail), took});
}

} // namespace peridotrudder
