#include "scheduling/owner_fixture.hpp"

#include "property.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <set>

namespace peridotrudder {

namespace {

constexpr std::int64_t core = 1'000;
/// Of each worker of `owner_fixture`.
constexpr std::int64_t worker_cores = 4;

tenant_config tenant_of_weight(const std::string& name, double weight)
{
    tenant_config tenant;
    tenant.m_name = name;
    tenant.m_key_digests = {name};
    tenant.m_weight = weight;
    return tenant;
}

std::string id_of(std::uint32_t number)
{
    return fmt::format("{:016x}", number);
}

job_spec spec_of(std::uint32_t count, std::int64_t cpu_millis)
{
    step_spec step;
    step.m_count = count;
    step.m_task_resources.m_cpu_millis = cpu_millis;
    step.m_estimate = milliseconds{100};
    job_spec spec;
    spec.m_steps.push_back(step);
    return spec;
}

/// Jobs of several tenants on a pool of equal workers, whose runs the test ends.
class tenant_pool {
public:
    explicit tenant_pool(std::uint32_t workers)
    {
        for (std::uint32_t index = 2; index <= workers; ++index) {
            m_owner.add_worker("i-" + std::to_string(index));
        }
    }

    owner_fixture& owner() { return m_owner; }

    /// Submits a job and returns its id.
    std::string submit(const std::optional<std::string>& tenant, const job_spec& spec,
                       const std::string& prefix = "/queue/")
    {
        auto id = id_of(++m_submitted);
        m_owner.m_key_digest = tenant;
        m_owner.submit_job(id, spec, prefix);
        return id;
    }

    /// Adds a job beyond its tenant's contracted rate.
    std::string add_excess(const std::string& tenant, const job_spec& spec)
    {
        auto id = id_of(++m_submitted);
        auto& state = m_owner.m_scheduler->mutable_state();
        state.m_job_store.add({id, owner_fixture::queue_at("/queue/"), m_owner.m_now.m_unix_ms,
                               spec, job_tenant{tenant, true}});
        state.m_schedulable_jobs.insert(id);
        return id;
    }

    /// Places what fits and returns the starts in order.
    std::vector<std::pair<worker_report, start_order>> place()
    {
        const auto before = m_owner.m_starts.size();
        m_owner.write();
        for (auto index = before; index < m_owner.m_starts.size(); ++index) {
            const auto [to, order] = m_owner.m_starts[index];
            m_owner.answer_start(to, order, order_result::accepted);
            m_running[order.m_key] = to.m_instance.m_worker;
        }
        return {m_owner.m_starts.begin() + static_cast<std::ptrdiff_t>(before),
                m_owner.m_starts.end()};
    }

    /// Ends runs, and lists the others.
    void end(const std::set<run_key>& ended)
    {
        m_owner.pass(milliseconds{2'000});
        std::set<std::string> workers;
        for (const auto& key : ended) {
            workers.insert(m_running.at(key));
        }
        for (const auto& worker : workers) {
            std::vector<running_entry> running;
            std::vector<ended_entry> ends;
            for (auto entry = m_running.begin(); entry != m_running.end();) {
                if (entry->second != worker) {
                    ++entry;
                }
                else if (ended.count(entry->first) != 0) {
                    ends.push_back({++m_ends[worker], entry->first, 1, run_end::done, ""});
                    entry = m_running.erase(entry);
                }
                else {
                    running.push_back({entry->first, 1, "", 10, 0});
                    ++entry;
                }
            }
            auto& holds = m_owner.m_holds;
            auto* session = m_owner.m_scheduler->mutable_state().find_worker(worker);
            m_owner.m_scheduler->tick(m_owner.m_now);
            hold_answer answer;
            answer.m_result = order_result::accepted;
            answer.m_born_ms = first_birth_ms;
            answer.m_clock_ms = m_owner.m_now.m_unix_ms;
            answer.m_running = std::move(running);
            answer.m_ended = std::move(ends);
            CPPUNIT_ASSERT(!holds.empty());
            m_owner.m_scheduler->hold_answered({session->instance(), session->fence()}, answer,
                                               m_owner.m_held_at, m_owner.m_now);
        }
    }

    const std::map<run_key, std::string>& running() const { return m_running; }

    std::string tenant_of(const run_key& key)
    {
        const auto& tenant = job_of(key.m_job).header().m_tenant;
        return tenant ? tenant->m_name : "";
    }

    const job& job_of(const std::string& id)
    {
        return *m_owner.m_scheduler->mutable_state().m_job_store.find(id);
    }

    std::int64_t cpu_of(const run_key& key)
    {
        return job_of(key.m_job).spec().m_steps[key.m_task.m_step].m_task_resources.m_cpu_millis;
    }

    std::int64_t running_cpu(const std::string& tenant)
    {
        std::int64_t used = 0;
        for (const auto& [key, worker] : m_running) {
            used += tenant_of(key) == tenant ? cpu_of(key) : 0;
        }
        return used;
    }

private:
    owner_fixture m_owner;
    std::uint32_t m_submitted{0};
    std::map<run_key, std::string> m_running;
    std::map<std::string, std::uint64_t> m_ends;
};

/// Checks starts against the rule of the page, from what runs on the workers.
class share_oracle {
public:
    /// The quotas are in thousandths of a core; zero for no limit.
    share_oracle(tenant_pool& pool, std::map<std::string, double> weights,
                 std::map<std::string, std::int64_t> quotas, std::uint32_t workers)
        : m_pool{&pool},
          m_weights{std::move(weights)},
          m_quotas{std::move(quotas)},
          m_workers{workers}
    {
    }

    /// Notes what runs before a placement.
    void begin()
    {
        m_used.clear();
        m_room.clear();
        for (std::uint32_t index = 1; index <= m_workers; ++index) {
            m_room["i-" + std::to_string(index)] = worker_cores * core;
        }
        for (const auto& [key, worker] : m_pool->running()) {
            m_used[m_pool->tenant_of(key)] += m_pool->cpu_of(key);
            m_room[worker] -= m_pool->cpu_of(key);
        }
    }

    /// Returns a start that took capacity which a tenant with a lower weighted share still waits
    /// for; empty if there is none.
    std::string judge(const std::vector<std::pair<worker_report, start_order>>& starts)
    {
        const auto waiting = smallest_waiting();
        for (const auto& [to, order] : starts) {
            const auto tenant = m_pool->tenant_of(order.m_key);
            auto& room = m_room[to.m_instance.m_worker];
            for (const auto& [other, cpu] : waiting) {
                const auto quota = m_quotas.at(other);
                const bool may_start = quota == 0 || m_used[other] + cpu <= quota;
                if (other != tenant && may_start && cpu <= room && share(other) < share(tenant)) {
                    return fmt::format("{} of {} starts while {} waits",
                                       to_text(order.m_key.m_task), tenant, other);
                }
            }
            m_used[tenant] += m_pool->cpu_of(order.m_key);
            if (m_quotas.at(tenant) != 0 && m_used[tenant] > m_quotas.at(tenant)) {
                return fmt::format("{} is above its quota", tenant);
            }
            room -= m_pool->cpu_of(order.m_key);
        }
        return {};
    }

private:
    double share(const std::string& tenant)
    {
        return static_cast<double>(m_used[tenant]) / m_weights.at(tenant);
    }

    /// Returns the CPU of the smallest task that each tenant waits for.
    std::map<std::string, std::int64_t> smallest_waiting()
    {
        std::map<std::string, std::int64_t> waiting;
        for (const auto& [id, known] :
             m_pool->owner().m_scheduler->mutable_state().m_job_store.jobs()) {
            if (known.phase() != job_phase::active || known.waiting(0, 0) == 0) {
                continue;
            }
            const run_key key{id, {0, 0, 0}};
            const auto cpu = m_pool->cpu_of(key);
            const auto entry = waiting.emplace(m_pool->tenant_of(key), cpu).first;
            entry->second = std::min(entry->second, cpu);
        }
        return waiting;
    }

    tenant_pool* m_pool;
    std::map<std::string, double> m_weights;
    std::map<std::string, std::int64_t> m_quotas;
    std::uint32_t m_workers;
    std::map<std::string, std::int64_t> m_used;
    std::map<std::string, std::int64_t> m_room;
};

} // namespace

class shares_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shares_test);
    CPPUNIT_TEST(full_pool_is_divided_by_weight);
    CPPUNIT_TEST(twenty_tenants_with_skewed_weights_get_their_shares);
    CPPUNIT_TEST(tenant_at_seven_times_its_rate_leaves_others_their_shares);
    CPPUNIT_TEST(share_that_a_tenant_does_not_use_goes_to_the_others);
    CPPUNIT_TEST(freed_capacity_goes_to_the_tenant_below_its_share);
    CPPUNIT_TEST(task_that_does_not_fit_blocks_no_other_tenant);
    CPPUNIT_TEST(tenant_at_its_quota_leaves_its_share_to_the_others);
    CPPUNIT_TEST(long_running_jobs_come_first);
    CPPUNIT_TEST(priority_of_the_queue_comes_before_shares);
    CPPUNIT_TEST(contracted_jobs_come_before_excess);
    CPPUNIT_TEST(useless_jobs_come_after_useful_ones_of_other_tenants);
    CPPUNIT_TEST(jobs_without_a_tenant_are_one_group_of_weight_one);
    CPPUNIT_TEST(largest_fraction_of_a_resource_decides);
    CPPUNIT_TEST(order_offers_each_job_once_in_order_of_rank);
    CPPUNIT_TEST(no_tenant_below_its_share_waits_while_one_above_it_starts);
    CPPUNIT_TEST_SUITE_END();

    static void set_weights(tenant_pool& pool, const std::map<std::string, double>& weights)
    {
        std::vector<tenant_config> tenants;
        tenants.reserve(weights.size());
        for (const auto& [name, weight] : weights) {
            tenants.push_back(tenant_of_weight(name, weight));
        }
        pool.owner().set_tenants(tenant_directory::create(tenants));
    }

public:
    void full_pool_is_divided_by_weight()
    {
        tenant_pool pool{6};
        set_weights(pool, {{"acme", 5.0}, {"base", 2.0}, {"cove", 1.0}});
        for (const auto* tenant : {"cove", "base", "acme"}) {
            pool.submit(tenant, spec_of(24, core));
        }
        pool.place();
        CPPUNIT_ASSERT_EQUAL(15 * core, pool.running_cpu("acme"));
        CPPUNIT_ASSERT_EQUAL(6 * core, pool.running_cpu("base"));
        CPPUNIT_ASSERT_EQUAL(3 * core, pool.running_cpu("cove"));
    }

    void twenty_tenants_with_skewed_weights_get_their_shares()
    {
        // Three large tenants have half of the weight.
        std::map<std::string, double> weights;
        double sum = 0.0;
        for (int index = 0; index < 20; ++index) {
            const double weight = index < 3 ? 17.0 : 3.0;
            weights["tenant-" + std::to_string(index)] = weight;
            sum += weight;
        }
        constexpr std::uint32_t workers = 51;
        tenant_pool pool{workers};
        set_weights(pool, weights);
        for (const auto& [name, weight] : weights) {
            for (int job = 0; job < 20; ++job) {
                pool.submit(name, spec_of(8, core));
            }
        }
        pool.place();
        for (const auto& [name, weight] : weights) {
            const auto fair = weight / sum * workers * worker_cores * core;
            const auto used = static_cast<double>(pool.running_cpu(name));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} uses {} of {}", name, used, fair),
                                   std::abs(used - fair) <= core);
        }
    }

    void tenant_at_seven_times_its_rate_leaves_others_their_shares()
    {
        tenant_pool pool{12};
        set_weights(pool, {{"acme", 1.0}, {"base", 1.0}, {"cove", 1.0}});
        for (int job = 0; job < 14; ++job) {
            pool.submit("acme", spec_of(8, core));
        }
        pool.submit("base", spec_of(16, core));
        pool.submit("cove", spec_of(16, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(16 * core, pool.running_cpu("base"));
        CPPUNIT_ASSERT_EQUAL(16 * core, pool.running_cpu("cove"));
        CPPUNIT_ASSERT_EQUAL(16 * core, pool.running_cpu("acme"));
    }

    void share_that_a_tenant_does_not_use_goes_to_the_others()
    {
        tenant_pool pool{3};
        set_weights(pool, {{"acme", 10.0}, {"base", 1.0}, {"cove", 1.0}});
        pool.submit("acme", spec_of(2, core));
        pool.submit("base", spec_of(12, core));
        pool.submit("cove", spec_of(12, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(2 * core, pool.running_cpu("acme"));
        CPPUNIT_ASSERT_EQUAL(5 * core, pool.running_cpu("base"));
        CPPUNIT_ASSERT_EQUAL(5 * core, pool.running_cpu("cove"));
    }

    void freed_capacity_goes_to_the_tenant_below_its_share()
    {
        tenant_pool pool{2};
        set_weights(pool, {{"acme", 1.0}, {"base", 1.0}});
        pool.submit("acme", spec_of(16, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(8 * core, pool.running_cpu("acme"));
        pool.submit("base", spec_of(16, core));
        auto entry = pool.running().begin();
        pool.end({entry->first, std::next(entry)->first, std::next(entry, 2)->first});
        pool.place();
        CPPUNIT_ASSERT_EQUAL(5 * core, pool.running_cpu("acme"));
        CPPUNIT_ASSERT_EQUAL(3 * core, pool.running_cpu("base"));
    }

    void task_that_does_not_fit_blocks_no_other_tenant()
    {
        tenant_pool pool{2};
        set_weights(pool, {{"acme", 100.0}, {"base", 1.0}});
        pool.submit("base", spec_of(2, core));
        pool.place();
        pool.submit("acme", spec_of(4, 4 * core));
        pool.submit("acme", spec_of(1, core));
        pool.submit("base", spec_of(8, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(5 * core, pool.running_cpu("acme"));
        CPPUNIT_ASSERT_EQUAL(3 * core, pool.running_cpu("base"));
    }

    void tenant_at_its_quota_leaves_its_share_to_the_others()
    {
        tenant_pool pool{2};
        auto limited = tenant_of_weight("acme", 10.0);
        limited.m_quota.m_cpu_millis = 2 * core;
        pool.owner().set_tenants(
            tenant_directory::create({limited, tenant_of_weight("base", 1.0)}));
        pool.submit("acme", spec_of(8, core));
        pool.submit("base", spec_of(8, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(2 * core, pool.running_cpu("acme"));
        CPPUNIT_ASSERT_EQUAL(6 * core, pool.running_cpu("base"));
    }

    void long_running_jobs_come_first()
    {
        tenant_pool pool{1};
        set_weights(pool, {{"acme", 1.0}, {"base", 1.0}});
        pool.submit("base", spec_of(4, core));
        auto endless = spec_of(3, core);
        endless.m_steps.front().m_long_running = true;
        pool.submit("acme", endless);
        pool.place();
        CPPUNIT_ASSERT_EQUAL(3 * core, pool.running_cpu("acme"));
    }

    void priority_of_the_queue_comes_before_shares()
    {
        tenant_pool pool{1};
        auto low = owner_fixture::queue_at("/low/");
        low.m_priority = 1;
        pool.owner().set_config({owner_fixture::queue_at("/queue/"), low},
                                tenant_directory::create({tenant_of_weight("acme", 1.0),
                                                          tenant_of_weight("base", 100.0)}));
        pool.submit("base", spec_of(4, core), "/low/");
        pool.submit("acme", spec_of(3, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(3 * core, pool.running_cpu("acme"));
        CPPUNIT_ASSERT_EQUAL(core, pool.running_cpu("base"));
    }

    void contracted_jobs_come_before_excess()
    {
        tenant_pool pool{1};
        set_weights(pool, {{"acme", 100.0}, {"base", 1.0}});
        pool.add_excess("acme", spec_of(4, core));
        pool.submit("base", spec_of(3, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(3 * core, pool.running_cpu("base"));
        CPPUNIT_ASSERT_EQUAL(core, pool.running_cpu("acme"));
    }

    void useless_jobs_come_after_useful_ones_of_other_tenants()
    {
        tenant_pool pool{1};
        set_weights(pool, {{"acme", 100.0}, {"base", 1.0}});
        pool.owner().pass(milliseconds{0});
        pool.submit("acme", spec_of(4, core));
        // Longer than three times the objective.
        pool.owner().pass(milliseconds{400});
        pool.submit("base", spec_of(3, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(3 * core, pool.running_cpu("base"));
        CPPUNIT_ASSERT_EQUAL(core, pool.running_cpu("acme"));
    }

    void jobs_without_a_tenant_are_one_group_of_weight_one()
    {
        tenant_pool pool{2};
        auto open = owner_fixture::queue_at("/open/");
        open.m_public = true;
        pool.owner().set_config({owner_fixture::queue_at("/queue/"), open},
                                tenant_directory::create({tenant_of_weight("acme", 3.0)}));
        pool.submit(std::nullopt, spec_of(8, core), "/open/");
        pool.submit(std::nullopt, spec_of(8, core), "/open/");
        pool.submit("acme", spec_of(8, core));
        pool.place();
        CPPUNIT_ASSERT_EQUAL(6 * core, pool.running_cpu("acme"));
        CPPUNIT_ASSERT_EQUAL(2 * core, pool.running_cpu(""));
    }

    void largest_fraction_of_a_resource_decides()
    {
        const resources capacity{64'000, 1'000, 0};
        CPPUNIT_ASSERT_EQUAL(0.5, weighted_share({32'000, 100, 0}, capacity, 1.0));
        CPPUNIT_ASSERT_EQUAL(0.25, weighted_share({6'400, 500, 0}, capacity, 2.0));
        CPPUNIT_ASSERT_EQUAL(0.0, weighted_share({0, 0, 7}, capacity, 1.0));
    }

    void order_offers_each_job_once_in_order_of_rank()
    {
        tenant_account account;
        std::vector<job_rank> ranks(5);
        std::vector<fair_job> jobs;
        for (std::size_t index = 0; index < ranks.size(); ++index) {
            ranks[index].m_finite = true;
            ranks[index].m_id = id_of(static_cast<std::uint32_t>(7 * index % 5));
            jobs.push_back({&ranks[index], &account, false});
        }
        fair_order order{jobs, "pool", {1'000, 0, 0}};
        std::vector<std::string> offered;
        while (const auto index = order.next()) {
            offered.push_back(ranks[*index].m_id);
            order.remove_current();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, offered.size());
        CPPUNIT_ASSERT(std::is_sorted(offered.begin(), offered.end()));
    }

    void no_tenant_below_its_share_waits_while_one_above_it_starts()
    {
        assert_property("free capacity goes to the tenant with the lowest weighted share", [] {
            // So large that no job exceeds its tenant's contracted rate.
            const std::map<std::string, double> weights{
                {"acme", 10'000.0}, {"base", 3'000.0}, {"cove", 1'000.0}, {"deep", 500.0}};
            const auto workers = *rc::gen::inRange(1U, 7U);
            tenant_pool pool{workers};
            std::map<std::string, std::int64_t> quotas;
            std::vector<tenant_config> tenants;
            tenants.reserve(weights.size());
            for (const auto& [name, weight] : weights) {
                // Half of the tenants have none; a task is at most of four cores.
                quotas[name] = std::max(0, *rc::gen::inRange(-8, 12)) * core;
                quotas[name] = quotas[name] < 4 * core ? 0 : quotas[name];
                tenants.push_back(tenant_of_weight(name, weight));
                tenants.back().m_quota.m_cpu_millis = quotas[name];
            }
            pool.owner().set_tenants(tenant_directory::create(tenants));
            share_oracle oracle{pool, weights, quotas, workers};
            const auto rounds = *rc::gen::inRange(1, 8);
            for (int round = 0; round < rounds; ++round) {
                const auto jobs =
                    *rc::gen::container<std::vector<std::tuple<std::uint32_t, std::uint32_t, int>>>(
                        rc::gen::tuple(rc::gen::inRange(0U, 4U), rc::gen::inRange(1U, 12U),
                                       rc::gen::inRange(1, 5)));
                for (const auto& [tenant, count, size] : jobs) {
                    pool.submit(std::next(weights.begin(), tenant)->first,
                                spec_of(count, size * core));
                }
                std::set<run_key> ended;
                for (const auto& [key, worker] : pool.running()) {
                    if (*rc::gen::inRange(0, 3) == 0) {
                        ended.insert(key);
                    }
                }
                pool.end(ended);
                oracle.begin();
                RC_ASSERT(oracle.judge(pool.place()) == "");
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shares_test);

} // namespace peridotrudder
