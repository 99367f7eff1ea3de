#include "peridotrudder/scheduling/tenant_admission.hpp"

#include "peridotrudder/scheduling/job_rank.hpp"
#include "peridotrudder/tenants/arrival_meter.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <list>
#include <random>
#include <tuple>

namespace peridotrudder {

namespace {

constexpr std::int64_t pool_cpu = 64'000;
constexpr double cpu = 64'000.0;
const std::string pool_name{"pool"};

queue_config make_queue(std::uint32_t priority = 0)
{
    queue_config queue;
    queue.m_pool = pool_name;
    queue.m_priority = priority;
    queue.m_stretch = 1.6;
    queue.m_target = milliseconds{600};
    return queue;
}

/// Four tasks of a core each. For 500 ms it is useful for 4,200 ms.
job_spec make_spec(milliseconds estimate = milliseconds{500})
{
    job_spec spec;
    step_spec step;
    step.m_count = 4;
    step.m_task_resources = {1'000, 256, 0};
    step.m_estimate = estimate;
    spec.m_steps.push_back(step);
    return spec;
}

tenant_config make_tenant(const std::string& name, double weight)
{
    tenant_config tenant;
    tenant.m_name = name;
    tenant.m_weight = weight;
    return tenant;
}

/// A pool whose backlog a test sets, in milliseconds of the whole pool.
struct admission_fixture {
    std::map<std::string, pool_outlook> m_pools;
    tenant_outlooks m_tenants;
    tenant_directory m_directory;
    queue_config m_queue = make_queue();
    job_spec m_spec = make_spec();

    explicit admission_fixture(std::vector<tenant_config> tenants = {make_tenant("a", 1.0),
                                                                     make_tenant("b", 1.0),
                                                                     make_tenant("c", 2.0)})
        : m_directory{tenant_directory::create(std::move(tenants))}
    {
        m_pools[pool_name].m_cpu = pool_cpu;
        m_pools[pool_name].m_waiting_cpu = 1'000;
    }

    void add(const std::string& tenant, bool excess, double pool_ms, std::uint32_t priority = 0)
    {
        m_pools[pool_name].m_backlog_by_tenant[priority][tenant].of(excess) +=
            work_amount{pool_ms * cpu, 0.0, 0.0};
    }

    tenant_decision decide(const std::string& tenant, bool excess) const
    {
        return decide_tenant_admission({tenant, excess, &m_spec, &m_queue},
                                       {m_pools, m_tenants, m_directory});
    }

    std::int64_t wait_of(const std::string& tenant, bool excess) const
    {
        return decide(tenant, excess).m_wait.count();
    }
};

/// A tenant of a replay.
struct sender {
    tenant_config m_tenant;
    /// Jobs a second that it sends, and from `m_change_ms` on.
    double m_rate{0.0};
    double m_later_rate{0.0};
    /// Most CPU that it may use, and from `m_change_ms` on; zero for no limit.
    std::int64_t m_quota{0};
    std::int64_t m_later_quota{0};
};

struct replay_plan {
    std::vector<sender> m_senders;
    std::int64_t m_change_ms{0};
    /// Until then callers hold back what they would send, and nothing is served.
    std::int64_t m_outage_until_ms{0};
    std::int64_t m_until_ms{20'000};
    /// Within a tenant, jobs that can be in time come first, then the shortest, as `job_rank` has
    /// it; otherwise first come, first served, which no estimate for an overload assumes.
    bool m_by_rank{false};
    /// Declared run times, and the factor by which real ones differ from all of them.
    int m_shortest_ms{300};
    int m_longest_ms{700};
    double m_real{1.0};
};

/// Number of a tenant's jobs by outcome.
struct tenant_outcome {
    int m_sent{0};
    int m_contracted{0};
    int m_contracted_refused{0};
    int m_excess_refused{0};
    int m_refused_with_room{0};
    int m_useful{0};
    int m_useless{0};
};

using replay_outcome = std::map<std::string, tenant_outcome>;

/// A pool that serves work at a fixed rate: by kind, then in fair shares, within a tenant in the
/// order of the plan. Declared run times are off by up to half.
class pool_replay {
public:
    pool_replay(replay_plan plan, std::uint32_t seed) : m_plan{std::move(plan)}
    {
        std::vector<tenant_config> tenants;
        for (const auto& sending : m_plan.m_senders) {
            tenants.push_back(sending.m_tenant);
            m_next_ms[sending.m_tenant.m_name] = 0.0;
            // Of its own, so that no tenant's load depends on another's.
            m_random.emplace(sending.m_tenant.m_name, std::mt19937{seed++});
        }
        m_directory = tenant_directory::create(tenants);
    }

    replay_outcome run()
    {
        for (m_now_ms = 0; m_now_ms < m_plan.m_until_ms || !m_waiting.empty();
             m_now_ms += step_ms) {
            if (m_now_ms >= m_plan.m_outage_until_ms) {
                if (m_now_ms % measure_ms == 0) {
                    measure();
                }
                send_due_jobs();
                serve();
            }
        }
        return m_outcome;
    }

private:
    static constexpr std::int64_t step_ms = 10;
    static constexpr std::int64_t measure_ms = 100;

    struct waiting_job {
        std::string m_tenant;
        bool m_excess{false};
        std::int64_t m_arrived_ms{0};
        double m_declared{0.0};
        double m_left{0.0};
        milliseconds m_chain{0};
        /// Declared work for each unit that is left.
        double m_scale{1.0};
    };
    /// A job that was accepted, or that has ended.
    struct counted_job {
        std::int64_t m_at_ms{0};
        std::string m_tenant;
        bool m_excess{false};
        milliseconds m_chain{0};
        double m_work{0.0};
    };

    bool changed() const { return m_now_ms >= m_plan.m_change_ms; }

    std::int64_t quota_of(const sender& sending) const
    {
        return changed() ? sending.m_later_quota : sending.m_quota;
    }

    bool is_useless(const waiting_job& waiting) const
    {
        return m_now_ms + waiting.m_chain.count() >
               waiting.m_arrived_ms + useful_time(waiting.m_chain, m_queue).count();
    }

    /// Returns a key by which a tenant's jobs are served.
    std::tuple<bool, milliseconds, std::int64_t> rank_of(const waiting_job& waiting) const
    {
        if (!m_plan.m_by_rank) {
            return {false, milliseconds{0}, waiting.m_arrived_ms};
        }
        return {is_late(waiting), waiting.m_chain, waiting.m_arrived_ms};
    }

    bool is_late(const waiting_job& waiting) const
    {
        return m_now_ms + waiting.m_chain.count() >
               waiting.m_arrived_ms + objective_time(waiting.m_chain, m_queue).count();
    }

    /// As `pool_demand` has it.
    void measure_overload(pool_outlook& pool)
    {
        const auto weight = std::exp(-static_cast<double>(measure_ms) / 10'000.0);
        m_waited_share = m_waited_share * weight + (m_waiting.empty() ? 0.0 : 1.0) * (1.0 - weight);
        if (m_waited_share < 0.8) {
            return;
        }
        const auto begin = m_now_ms - overload_window.count();
        const auto window = static_cast<double>(overload_window.count());
        for (const auto& ended : m_ended) {
            if (ended.m_at_ms > begin) {
                pool.m_served_rate += ended.m_work / window / m_waited_share;
            }
        }
        for (const auto& accepted : m_accepted) {
            if (accepted.m_at_ms > begin) {
                pool.m_backlog_by_tenant[0][accepted.m_tenant]
                    .ranked(accepted.m_excess)
                    .m_accepted_rate.add(accepted.m_chain, accepted.m_work / window);
            }
        }
    }

    void measure()
    {
        auto& pool = m_pools[pool_name];
        const auto average = pool.m_contracted_rate * std::exp(-static_cast<double>(measure_ms) /
                                                               contracted_averaging.count());
        pool = pool_outlook{};
        pool.m_cpu = pool_cpu;
        pool.m_contracted_rate = average;
        if (m_plan.m_by_rank) {
            measure_overload(pool);
        }
        pool.m_free_cpu = m_waiting.empty() ? cpu : 0.0;
        m_tenants.clear();
        for (const auto& waiting : m_waiting) {
            if (!is_useless(waiting)) {
                auto& backlog = pool.m_backlog_by_tenant[0][waiting.m_tenant];
                const auto work = waiting.m_left * waiting.m_scale;
                backlog.of(waiting.m_excess).m_cpu += work;
                if (pool.m_served_rate > 0.0) {
                    auto& ranked = backlog.ranked(waiting.m_excess);
                    (is_late(waiting) ? ranked.m_late : ranked.m_in_time)
                        .add(waiting.m_chain, work);
                }
            }
        }
        for (const auto& sending : m_plan.m_senders) {
            const auto& name = sending.m_tenant.m_name;
            const auto quota = quota_of(sending);
            const bool waits =
                std::any_of(m_waiting.begin(), m_waiting.end(),
                            [&name](const auto& waiting) { return waiting.m_tenant == name; });
            if (quota == 0) {
                pool.m_waiting_cpu += waits ? 1'000 : 0;
                continue;
            }
            auto& tenant = m_tenants[name];
            tenant.m_at_quota = waits;
            tenant.m_quota.m_cpu_millis = quota;
            tenant.m_used_cpu[pool_name] = quota;
        }
    }

    /// Submits what is due, in the order in which it became due.
    void send_due_jobs()
    {
        const auto until = std::min(m_now_ms + 1, m_plan.m_until_ms);
        while (true) {
            const auto next = std::min_element(m_plan.m_senders.begin(), m_plan.m_senders.end(),
                                               [this](const sender& left, const sender& right) {
                                                   return m_next_ms[left.m_tenant.m_name] <
                                                          m_next_ms[right.m_tenant.m_name];
                                               });
            auto& next_ms = m_next_ms[next->m_tenant.m_name];
            if (next_ms >= static_cast<double>(until)) {
                return;
            }
            auto& random = m_random.at(next->m_tenant.m_name);
            const auto rate = next_ms >= m_plan.m_change_ms ? next->m_later_rate : next->m_rate;
            next_ms += 1'000.0 / rate * std::uniform_real_distribution{0.8, 1.2}(random);
            submit(next->m_tenant);
        }
    }

    void submit(const tenant_config& tenant)
    {
        const moment now{time_point{milliseconds{m_now_ms}}, m_now_ms};
        auto& counts = m_outcome[tenant.m_name];
        auto& random = m_random.at(tenant.m_name);
        const auto spec = make_spec(milliseconds{
            std::uniform_int_distribution{m_plan.m_shortest_ms, m_plan.m_longest_ms}(random)});
        const bool excess = !m_meter.is_contracted(tenant, now.m_at);
        const tenant_job submitted{tenant.m_name, excess, &spec, &m_queue};
        const auto decision = decide_tenant_admission(submitted, {m_pools, m_tenants, m_directory});
        // Drawn in any case, so that a refusal does not change what follows.
        const auto off = m_plan.m_real * std::uniform_real_distribution{0.5, 1.5}(random);
        ++counts.m_sent;
        counts.m_contracted += excess ? 0 : 1;
        if (!decision.m_admitted) {
            counts.m_contracted_refused += excess ? 0 : 1;
            counts.m_excess_refused += excess ? 1 : 0;
            counts.m_refused_with_room += m_waiting.empty() ? 1 : 0;
            return;
        }
        const auto work = static_cast<double>(estimated_work(spec));
        if (!excess) {
            m_meter.accept_contracted(tenant, now.m_at);
        }
        add_accepted(submitted, m_pools[pool_name], m_tenants);
        m_waiting.push_back(
            {tenant.m_name, excess, m_now_ms, work, work * off, longest_chain(spec), 1.0 / off});
        m_accepted.push_back({m_now_ms, tenant.m_name, excess, longest_chain(spec), work});
    }

    /// Serves one level of the order in fair shares. Returns the capacity that is left.
    double serve_level(double capacity, bool useless, bool excess,
                       std::map<std::string, double>& allowed)
    {
        while (capacity > 1.0) {
            std::map<std::string, waiting_job*> first;
            double weights = 0.0;
            for (auto& waiting : m_waiting) {
                const bool on_level = is_useless(waiting) == useless &&
                                      (useless || waiting.m_excess == excess) &&
                                      waiting.m_left > 0.0 && allowed[waiting.m_tenant] > 1.0;
                if (!on_level) {
                    continue;
                }
                const auto [position, is_first] = first.emplace(waiting.m_tenant, &waiting);
                weights += is_first ? m_directory.find(waiting.m_tenant)->m_weight : 0.0;
                if (rank_of(waiting) < rank_of(*position->second)) {
                    position->second = &waiting;
                }
            }
            if (first.empty()) {
                return capacity;
            }
            const auto round = capacity;
            for (auto& [name, waiting] : first) {
                const auto share = round * m_directory.find(name)->m_weight / weights;
                const auto served = std::min({share, waiting->m_left, allowed[name]});
                waiting->m_left = waiting->m_left - served < 1.0 ? 0.0 : waiting->m_left - served;
                allowed[name] -= served;
                capacity -= served;
            }
        }
        return capacity;
    }

    void serve()
    {
        std::map<std::string, double> allowed;
        for (const auto& sending : m_plan.m_senders) {
            const auto quota = quota_of(sending);
            allowed[sending.m_tenant.m_name] =
                static_cast<double>((quota == 0 ? pool_cpu : quota) * step_ms);
        }
        auto capacity = cpu * step_ms;
        capacity = serve_level(capacity, false, false, allowed);
        capacity = serve_level(capacity, false, true, allowed);
        serve_level(capacity, true, false, allowed);
        m_waiting.remove_if([this](const waiting_job& waiting) {
            if (waiting.m_left > 0.0) {
                return false;
            }
            auto& counts = m_outcome[waiting.m_tenant];
            m_ended.push_back({m_now_ms, "", false, {}, waiting.m_declared});
            (is_useless(waiting) ? counts.m_useless : counts.m_useful) += 1;
            return true;
        });
    }

    double m_waited_share{0.0};
    std::vector<counted_job> m_accepted;
    std::vector<counted_job> m_ended;
    replay_plan m_plan;
    std::map<std::string, std::mt19937> m_random;
    queue_config m_queue = make_queue();
    tenant_directory m_directory;
    arrival_meter m_meter;
    std::map<std::string, pool_outlook> m_pools;
    tenant_outlooks m_tenants;
    std::map<std::string, double> m_next_ms;
    std::list<waiting_job> m_waiting;
    std::int64_t m_now_ms{0};
    replay_outcome m_outcome;
};

/// Returns tenants that send nine tenths of what they have contracted, `load` of the pool together.
std::vector<sender> make_senders(int count, double skew, double load)
{
    // The mean job has 4 tasks of 500 ms: 2,000,000 thousandths of a core times milliseconds.
    constexpr double mean_job_rate = cpu * 1'000.0 / 2'000'000.0;
    std::vector<sender> senders;
    double weights = 0.0;
    for (int index = 1; index <= count; ++index) {
        weights += 1.0 / std::pow(index, skew);
    }
    for (int index = 1; index <= count; ++index) {
        const auto rate = load * mean_job_rate / std::pow(index, skew) / weights;
        sender sending;
        sending.m_tenant = make_tenant("tenant-" + std::to_string(index), rate / 0.9);
        sending.m_rate = rate;
        sending.m_later_rate = rate;
        senders.push_back(sending);
    }
    return senders;
}

std::string describe(const std::string& name, const tenant_outcome& counts)
{
    return name + ": " + std::to_string(counts.m_sent) + " sent, " +
           std::to_string(counts.m_contracted) + " contracted, " +
           std::to_string(counts.m_contracted_refused) + " of them refused, " +
           std::to_string(counts.m_excess_refused) + " excess refused, " +
           std::to_string(counts.m_useful) + " useful, " + std::to_string(counts.m_useless) +
           " useless, " + std::to_string(counts.m_refused_with_room) + " refused with room";
}

} // namespace

class tenant_admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(tenant_admission_test);
    CPPUNIT_TEST(admits_while_no_ready_task_waits);
    CPPUNIT_TEST(never_rejects_long_running_or_recurring_jobs);
    CPPUNIT_TEST(contracted_job_waits_for_the_contracted_work_of_all_or_its_own_at_its_share);
    CPPUNIT_TEST(excess_job_waits_for_all_contracted_work_first);
    CPPUNIT_TEST(excess_job_waits_for_contracted_work_that_still_arrives);
    CPPUNIT_TEST(work_of_queues_with_higher_priority_comes_first);
    CPPUNIT_TEST(wait_never_exceeds_either_bound);
    CPPUNIT_TEST(contracted_job_is_rejected_later_than_an_excess_one);
    CPPUNIT_TEST(tenant_at_its_quota_waits_for_its_own_work_only);
    CPPUNIT_TEST(tenant_at_its_quota_takes_no_more_of_the_pool_than_it_has);
    CPPUNIT_TEST(lowered_quota_delays_until_enough_runs_have_ended);
    CPPUNIT_TEST(quota_of_each_resource_limits);
    CPPUNIT_TEST(removed_tenant_has_the_smallest_weight_and_none_has_weight_one);
    CPPUNIT_TEST(absurd_weights_and_backlogs_are_no_error);
    CPPUNIT_TEST(accepted_work_counts_before_the_next_measurement);
    CPPUNIT_TEST(burst_between_two_measurements_was_admitted_whole);
    CPPUNIT_TEST(burst_of_a_tenant_near_its_quota_was_admitted_whole);
    CPPUNIT_TEST(recurring_and_best_effort_jobs_take_no_free_cpu);
    CPPUNIT_TEST(job_is_admitted_after_its_retry_time);
    CPPUNIT_TEST(excess_work_of_others_rejects_no_contracted_job);
    CPPUNIT_TEST(nothing_is_rejected_while_no_ready_task_waits);
    CPPUNIT_TEST(others_are_served_as_usual_beside_a_tenant_at_seven_times_its_rate);
    CPPUNIT_TEST(others_are_served_as_usual_also_if_short_jobs_come_first);
    CPPUNIT_TEST(twenty_tenants_with_skewed_weights_lose_excess_work_only);
    CPPUNIT_TEST(quota_cut_to_a_tenth_rejects_its_tenant_only);
    CPPUNIT_TEST(burst_after_an_outage_loses_no_contracted_job);
    CPPUNIT_TEST(long_job_is_refused_in_an_overload_in_which_a_short_one_is_admitted);
    CPPUNIT_TEST(late_work_delays_no_job_that_can_be_in_time);
    CPPUNIT_TEST(job_is_admitted_after_its_retry_time_in_an_overload);
    CPPUNIT_TEST(overload_of_a_tenth_for_minutes_made_long_jobs_useless);
    CPPUNIT_TEST(excess_is_refused_first_in_an_overload_of_a_tenth);
    CPPUNIT_TEST(load_just_below_the_capacity_refuses_nearly_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void admits_while_no_ready_task_waits()
    {
        admission_fixture fixture;
        fixture.add("b", false, 60'000);
        fixture.m_pools[pool_name].m_waiting_cpu = 0;
        CPPUNIT_ASSERT(fixture.decide("a", true).m_admitted);
        CPPUNIT_ASSERT(fixture.decide("b", false).m_admitted);
    }

    void never_rejects_long_running_or_recurring_jobs()
    {
        admission_fixture fixture;
        fixture.add("a", false, 60'000);
        CPPUNIT_ASSERT(!fixture.decide("a", false).m_admitted);
        fixture.m_spec.m_recurrence = recurrence{};
        CPPUNIT_ASSERT(fixture.decide("a", false).m_admitted);
        fixture.m_spec = make_spec();
        fixture.m_spec.m_steps[0].m_long_running = true;
        CPPUNIT_ASSERT(fixture.decide("a", true).m_admitted);
    }

    void contracted_job_waits_for_the_contracted_work_of_all_or_its_own_at_its_share()
    {
        admission_fixture fixture;
        fixture.add("a", false, 100);
        fixture.add("c", false, 10'000);
        // A third of the pool is its share by weight.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{300}, fixture.wait_of("a", false));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10'100}, fixture.wait_of("c", false));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, fixture.wait_of("b", false));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(cpu / 3.0, fixture.decide("a", false).m_share, 1.0);
    }

    void excess_job_waits_for_all_contracted_work_first()
    {
        admission_fixture fixture;
        fixture.add("a", false, 1'000);
        fixture.add("b", false, 500);
        fixture.add("a", true, 200);
        fixture.add("c", true, 3'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'500}, fixture.wait_of("b", true));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'500 + 600}, fixture.wait_of("a", true));
    }

    // Excess work was admitted that contracted work still to come kept from being useful.
    void excess_job_waits_for_contracted_work_that_still_arrives()
    {
        admission_fixture fixture;
        fixture.add("a", true, 600);
        fixture.m_pools[pool_name].m_contracted_rate = cpu * 0.8;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3'000}, fixture.wait_of("a", true));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, fixture.wait_of("a", false));
        fixture.m_pools[pool_name].m_contracted_rate = cpu * 2.0;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{12'000}, fixture.wait_of("a", true));
    }

    void work_of_queues_with_higher_priority_comes_first()
    {
        admission_fixture fixture;
        fixture.m_queue.m_priority = 1;
        fixture.add("b", false, 700, 0);
        fixture.add("a", true, 50, 0);
        fixture.add("a", false, 200, 1);
        fixture.add("c", false, 5'000, 2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{950}, fixture.wait_of("a", false));
        fixture.m_queue.m_priority = 0;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, fixture.wait_of("a", false));
    }

    void wait_never_exceeds_either_bound()
    {
        assert_property("wait never exceeds either bound", [] {
            std::vector<tenant_config> tenants;
            for (int index = 0; index < 6; ++index) {
                tenants.push_back(
                    make_tenant(std::to_string(index), *rc::gen::inRange(1, 1'000) / 10.0));
            }
            admission_fixture fixture{tenants};
            double all = 0.0;
            double own = 0.0;
            double weights = tenants[0].m_weight;
            for (int index = 0; index < 6; ++index) {
                const auto backlog = *rc::gen::inRange(0, 20'000);
                fixture.add(std::to_string(index), false, backlog);
                all += backlog;
                own = index == 0 ? backlog : own;
                weights += index != 0 && backlog > 0 ? tenants[index].m_weight : 0.0;
            }
            const auto wait = static_cast<double>(fixture.wait_of("0", false));
            RC_ASSERT(wait <= all + 1.0);
            RC_ASSERT(wait <= own * weights / tenants[0].m_weight + 1.0);
            RC_ASSERT(wait >= own - 1.0);
        });
    }

    // Declared run times are off by half and more: by them alone, contracted work that would have
    // been useful was rejected.
    void contracted_job_is_rejected_later_than_an_excess_one()
    {
        admission_fixture fixture;
        // Useful for 4,200 ms, of which 500 are its own run time.
        fixture.add("a", false, 3'700);
        CPPUNIT_ASSERT(fixture.decide("a", true).m_admitted);
        fixture.add("a", false, 300);
        CPPUNIT_ASSERT(!fixture.decide("a", true).m_admitted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{300},
                             std::int64_t{fixture.decide("a", true).m_retry_after.count()});
        // 4,200 / 0.6 - 500.
        fixture.add("a", false, 2'500);
        CPPUNIT_ASSERT(fixture.decide("a", false).m_admitted);
        fixture.add("a", false, 200);
        CPPUNIT_ASSERT(!fixture.decide("a", false).m_admitted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200},
                             std::int64_t{fixture.decide("a", false).m_retry_after.count()});
    }

    void tenant_at_its_quota_waits_for_its_own_work_only()
    {
        admission_fixture fixture;
        fixture.add("a", false, 1'000);
        fixture.add("a", true, 500);
        fixture.add("b", false, 60'000);
        auto& tenant = fixture.m_tenants["a"];
        tenant.m_at_quota = true;
        tenant.m_quota.m_cpu_millis = pool_cpu / 10;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{10'000}, fixture.wait_of("a", false));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{15'000}, fixture.wait_of("a", true));
        CPPUNIT_ASSERT(wait_cause::quota == fixture.decide("a", false).m_cause);
        // Its work in other pools uses the same quota.
        fixture.m_pools["other"].m_backlog_by_tenant[7]["a"].m_contracted.m_cpu = cpu * 100.0;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{11'000}, fixture.wait_of("a", false));
        // Free CPU is no use to a tenant at its quota.
        fixture.m_pools[pool_name].m_waiting_cpu = 0;
        CPPUNIT_ASSERT(!fixture.decide("a", false).m_admitted);
        // Once within its quota again, it waits like the others.
        tenant.m_at_quota = false;
        CPPUNIT_ASSERT(fixture.decide("a", false).m_admitted);
    }

    // Backlog that its tenant's quota holds back counted as if it were served before others.
    void tenant_at_its_quota_takes_no_more_of_the_pool_than_it_has()
    {
        admission_fixture fixture;
        fixture.add("c", false, 60'000);
        fixture.add("a", false, 1'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3'000}, fixture.wait_of("a", false));
        auto& tenant = fixture.m_tenants["c"];
        tenant.m_at_quota = true;
        tenant.m_quota.m_cpu_millis = pool_cpu / 8;
        tenant.m_used_cpu[pool_name] = pool_cpu / 8;
        const auto wait = fixture.wait_of("a", false);
        CPPUNIT_ASSERT(wait >= 1'142 && wait <= 1'150);
    }

    void lowered_quota_delays_until_enough_runs_have_ended()
    {
        admission_fixture fixture;
        auto& tenant = fixture.m_tenants["a"];
        tenant.m_at_quota = true;
        tenant.m_quota.m_cpu_millis = pool_cpu / 10;
        tenant.m_until_within_quota = milliseconds{9'000};
        const auto decision = fixture.decide("a", false);
        CPPUNIT_ASSERT(!decision.m_admitted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'300}, std::int64_t{decision.m_retry_after.count()});
    }

    void quota_of_each_resource_limits()
    {
        admission_fixture fixture;
        auto& backlog = fixture.m_pools[pool_name].m_backlog_by_tenant[0]["a"].m_contracted;
        backlog = {1'000.0 * 1'000.0, 1'000.0 * 2'000.0, 3'000.0};
        auto& tenant = fixture.m_tenants["a"];
        tenant.m_at_quota = true;
        tenant.m_quota = {1'000, unlimited, unlimited};
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'000}, fixture.wait_of("a", false));
        tenant.m_quota.m_memory_mb = 1'000;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, fixture.wait_of("a", false));
        tenant.m_quota.m_accelerators = 1;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3'000}, fixture.wait_of("a", false));
        tenant.m_quota.m_accelerators = 0;
        CPPUNIT_ASSERT(!fixture.decide("a", false).m_admitted);
    }

    void removed_tenant_has_the_smallest_weight_and_none_has_weight_one()
    {
        const auto directory = tenant_directory::create(
            {make_tenant("a", 3.0), make_tenant("b", 0.5), make_tenant("zero", 0.0)});
        CPPUNIT_ASSERT_EQUAL(3.0, directory.share_weight("a"));
        CPPUNIT_ASSERT_EQUAL(0.5, directory.share_weight("removed"));
        CPPUNIT_ASSERT_EQUAL(1.0, directory.share_weight(""));
        CPPUNIT_ASSERT_EQUAL(0.5, directory.share_weight("zero"));
        CPPUNIT_ASSERT(tenant_directory::create({}).share_weight("") > 0.0);
    }

    void absurd_weights_and_backlogs_are_no_error()
    {
        constexpr auto infinity = std::numeric_limits<double>::infinity();
        const std::vector<double> weights{
            0.0, -1.0, infinity, std::numeric_limits<double>::quiet_NaN(), 1e-300, 1e300};
        std::vector<tenant_config> tenants;
        for (const auto weight : weights) {
            tenants.push_back(make_tenant(std::to_string(tenants.size()), weight));
        }
        admission_fixture fixture{tenants};
        for (const auto& tenant : tenants) {
            fixture.add(tenant.m_name, false, 1e20);
            fixture.add(tenant.m_name, true, 1e20);
        }
        for (const auto& tenant : tenants) {
            for (const bool excess : {false, true}) {
                const auto decision = fixture.decide(tenant.m_name, excess);
                CPPUNIT_ASSERT(decision.m_wait > milliseconds{0});
                CPPUNIT_ASSERT(!decision.m_admitted);
                CPPUNIT_ASSERT(decision.m_retry_after > milliseconds{0});
            }
        }
    }

    void accepted_work_counts_before_the_next_measurement()
    {
        admission_fixture fixture;
        // Each has 2,000 core ms, which are 31.25 ms of the pool.
        for (int accepted = 0; accepted < 64; ++accepted) {
            add_accepted({"a", true, &fixture.m_spec, &fixture.m_queue}, fixture.m_pools[pool_name],
                         fixture.m_tenants);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, fixture.wait_of("a", true));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, fixture.wait_of("a", false));
    }

    // The measurement said that nothing waits, while thousands of jobs came after it.
    void burst_between_two_measurements_was_admitted_whole()
    {
        admission_fixture fixture;
        auto& pool = fixture.m_pools[pool_name];
        pool.m_waiting_cpu = 0;
        pool.m_free_cpu = cpu;
        int admitted = 0;
        while (fixture.decide("a", true).m_admitted && admitted < 1'000) {
            add_accepted({"a", true, &fixture.m_spec, &fixture.m_queue}, pool, fixture.m_tenants);
            ++admitted;
        }
        // 3,700 ms of the pool, and the job that finds just as much.
        CPPUNIT_ASSERT_EQUAL(119, admitted);
    }

    // The measurement said that the quota has room, while jobs for many times as much came after
    // it.
    void burst_of_a_tenant_near_its_quota_was_admitted_whole()
    {
        admission_fixture fixture;
        auto& pool = fixture.m_pools[pool_name];
        pool.m_waiting_cpu = 0;
        pool.m_free_cpu = cpu;
        auto& tenant = fixture.m_tenants["a"];
        tenant.m_quota.m_memory_mb = 2'048;
        tenant.m_room.m_memory = 2'048.0;
        int admitted = 0;
        while (fixture.decide("a", true).m_admitted && admitted < 1'000) {
            add_accepted({"a", true, &fixture.m_spec, &fixture.m_queue}, pool, fixture.m_tenants);
            ++admitted;
        }
        // Two run at a time: 3,700 ms of backlog at 250 ms each, and the job that finds just more.
        CPPUNIT_ASSERT_EQUAL(15, admitted);
        CPPUNIT_ASSERT(fixture.decide("b", true).m_admitted);
    }

    // Jobs were refused for work that is due tomorrow, or that takes only what others leave.
    void recurring_and_best_effort_jobs_take_no_free_cpu()
    {
        admission_fixture fixture;
        auto& pool = fixture.m_pools[pool_name];
        pool.m_waiting_cpu = 0;
        pool.m_free_cpu = 1'000.0;
        auto spec = make_spec();
        spec.m_recurrence = recurrence{1, 10'000'000, 0};
        add_accepted({"a", false, &spec, &fixture.m_queue}, pool, fixture.m_tenants);
        CPPUNIT_ASSERT(pool.m_backlog_by_tenant.empty());
        CPPUNIT_ASSERT_EQUAL(1'000.0, pool.m_free_cpu);
        spec = make_spec();
        spec.m_steps[0].m_best_effort = true;
        add_accepted({"a", false, &spec, &fixture.m_queue}, pool, fixture.m_tenants);
        CPPUNIT_ASSERT_EQUAL(1'000.0, pool.m_free_cpu);
    }

    void job_is_admitted_after_its_retry_time()
    {
        assert_property("job is admitted after its retry time", [] {
            const auto tenants = *rc::gen::inRange(1, 8);
            std::vector<tenant_config> configured;
            for (int index = 0; index < tenants; ++index) {
                configured.push_back(
                    make_tenant(std::to_string(index), *rc::gen::inRange(1, 100) / 10.0));
            }
            admission_fixture fixture{configured};
            auto& pool = fixture.m_pools[pool_name];
            for (int index = 0; index < tenants; ++index) {
                for (const bool excess : {false, true}) {
                    fixture.add(std::to_string(index), excess, *rc::gen::inRange(0, 6'000));
                }
            }
            const bool excess = *rc::gen::arbitrary<bool>();
            const auto decision = fixture.decide("0", excess);
            // A server without new arrivals: contracted work in shares, then excess work.
            constexpr double step_ms = 1.0;
            for (double passed = 0.0; passed < decision.m_retry_after.count(); passed += step_ms) {
                serve_in_order(pool.m_backlog_by_tenant[0], fixture.m_directory, cpu * step_ms);
            }
            RC_ASSERT(decision.m_admitted ||
                      fixture.decide("0", excess).m_retry_after <= milliseconds{2});
        });
    }

    void excess_work_of_others_rejects_no_contracted_job()
    {
        assert_property("excess work of others rejects no contracted job", [] {
            admission_fixture fixture;
            fixture.m_queue.m_priority = 1;
            for (const std::string name : {"a", "b", "c", ""}) {
                for (std::uint32_t priority = 0; priority < 3; ++priority) {
                    fixture.add(name, false, *rc::gen::inRange(0, 4'000), priority);
                }
            }
            const auto before = fixture.decide("a", false);
            for (const std::string name : {"b", "c", ""}) {
                for (std::uint32_t priority = 0; priority < 3; ++priority) {
                    fixture.add(name, true, *rc::gen::inRange(0, 1'000'000), priority);
                }
            }
            const auto after = fixture.decide("a", false);
            RC_ASSERT(after.m_admitted == before.m_admitted);
            RC_ASSERT(after.m_retry_after == before.m_retry_after);
        });
    }

    void nothing_is_rejected_while_no_ready_task_waits()
    {
        assert_property("nothing is rejected while no ready task waits", [] {
            admission_fixture fixture;
            for (const std::string name : {"a", "b", "c", ""}) {
                for (const bool excess : {false, true}) {
                    fixture.add(name, excess, *rc::gen::inRange(0, 1'000'000),
                                *rc::gen::inRange(0, 3));
                }
            }
            fixture.m_pools[pool_name].m_contracted_rate = *rc::gen::inRange(0, 1'000'000);
            fixture.m_pools[pool_name].m_waiting_cpu = 0;
            fixture.m_pools[pool_name].m_free_cpu = *rc::gen::inRange(0, 1'000'000);
            RC_ASSERT(fixture.decide("a", *rc::gen::arbitrary<bool>()).m_admitted);
        });
    }

    void others_are_served_as_usual_beside_a_tenant_at_seven_times_its_rate()
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            replay_plan plan;
            plan.m_senders = make_senders(10, 0.0, 0.7);
            const auto usual = pool_replay{plan, seed}.run();
            plan.m_senders.back().m_later_rate *= 7.0;
            plan.m_change_ms = 5'000;
            const auto heavy = pool_replay{plan, seed}.run();
            const auto& name = plan.m_senders.back().m_tenant.m_name;
            for (const auto& [tenant, counts] : heavy) {
                const auto context =
                    "seed " + std::to_string(seed) + ", " + describe(tenant, counts);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_refused_with_room);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_contracted_refused);
                if (tenant != name) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_excess_refused);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, usual.at(tenant).m_sent, counts.m_sent);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, usual.at(tenant).m_useful,
                                                 counts.m_useful);
                }
            }
            const auto& own = heavy.at(name);
            const auto context = describe(name, own);
            CPPUNIT_ASSERT_MESSAGE(context, own.m_excess_refused > 0);
            CPPUNIT_ASSERT_MESSAGE(context + ": no fewer useful jobs than at its usual rate",
                                   own.m_useful >= usual.at(name).m_useful);
            CPPUNIT_ASSERT_MESSAGE(context + ": nearly all accepted jobs are useful",
                                   own.m_useless * 20 <= own.m_useful);
        }
    }

    // Short jobs overtake the longest ones, of which some become useless: in the first 16 s of an
    // overload they are not refused, since the backlog that is served before a new job stays small.
    void others_are_served_as_usual_also_if_short_jobs_come_first()
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            replay_plan plan;
            plan.m_by_rank = true;
            plan.m_senders = make_senders(10, 0.0, 0.7);
            const auto usual = pool_replay{plan, seed}.run();
            plan.m_senders.back().m_later_rate *= 7.0;
            plan.m_change_ms = 5'000;
            const auto heavy = pool_replay{plan, seed}.run();
            const auto& name = plan.m_senders.back().m_tenant.m_name;
            for (const auto& [tenant, counts] : heavy) {
                const auto context =
                    "seed " + std::to_string(seed) + ", " + describe(tenant, counts);
                const auto& before = usual.at(tenant);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_refused_with_room);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_contracted_refused);
                if (tenant == name) {
                    CPPUNIT_ASSERT_MESSAGE(context, counts.m_useful >= before.m_useful);
                    continue;
                }
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_excess_refused);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, before.m_sent, counts.m_sent);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, before.m_useful, counts.m_useful);
            }
        }
    }

    void twenty_tenants_with_skewed_weights_lose_excess_work_only()
    {
        for (std::uint32_t seed = 1; seed <= 3; ++seed) {
            replay_plan plan;
            plan.m_senders = make_senders(20, 1.0, 0.8);
            plan.m_change_ms = 3'000;
            for (const auto index : {0, 5, 19}) {
                plan.m_senders[index].m_later_rate *= 3.0;
            }
            int refused = 0;
            int useful = 0;
            int useless = 0;
            for (const auto& [tenant, counts] : pool_replay{plan, seed}.run()) {
                const auto context =
                    "seed " + std::to_string(seed) + ", " + describe(tenant, counts);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_refused_with_room);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_contracted_refused);
                refused += counts.m_excess_refused;
                useful += counts.m_useful;
                useless += counts.m_useless;
            }
            CPPUNIT_ASSERT(refused > 0);
            CPPUNIT_ASSERT(useless * 20 <= useful);
        }
    }

    void quota_cut_to_a_tenth_rejects_its_tenant_only()
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            replay_plan plan;
            plan.m_senders = make_senders(5, 0.0, 0.7);
            plan.m_change_ms = 5'000;
            auto& limited = plan.m_senders.front();
            limited.m_quota = pool_cpu / 5;
            limited.m_later_quota = pool_cpu / 50;
            for (const auto& [tenant, counts] : pool_replay{plan, seed}.run()) {
                const auto context =
                    "seed " + std::to_string(seed) + ", " + describe(tenant, counts);
                if (tenant != limited.m_tenant.m_name) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, counts.m_sent, counts.m_useful);
                    continue;
                }
                CPPUNIT_ASSERT_MESSAGE(context, counts.m_contracted_refused > 0);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_refused_with_room);
            }
        }
    }

    void burst_after_an_outage_loses_no_contracted_job()
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            replay_plan plan;
            plan.m_senders = make_senders(10, 0.5, 0.7);
            plan.m_outage_until_ms = 20'000;
            plan.m_until_ms = 40'000;
            int refused = 0;
            int useful = 0;
            int useless = 0;
            for (const auto& [tenant, counts] : pool_replay{plan, seed}.run()) {
                const auto context =
                    "seed " + std::to_string(seed) + ", " + describe(tenant, counts);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_refused_with_room);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, counts.m_contracted_refused);
                refused += counts.m_excess_refused;
                useful += counts.m_useful;
                useless += counts.m_useless;
            }
            CPPUNIT_ASSERT(refused > 0);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(useless) + " useless, " + std::to_string(useful) +
                                       " useful",
                                   useless * 10 <= useful);
        }
    }

    void long_job_is_refused_in_an_overload_in_which_a_short_one_is_admitted()
    {
        admission_fixture fixture;
        auto& pool = fixture.m_pools[pool_name];
        pool.m_served_rate = cpu;
        auto& ranked = pool.m_backlog_by_tenant[0]["a"].m_contracted_ranked;
        ranked.m_accepted_rate.add(milliseconds{500}, cpu * 0.7);
        ranked.m_accepted_rate.add(milliseconds{2'000}, cpu * 0.4);
        // Without a backlog nothing else shows that the long ones fall behind.
        CPPUNIT_ASSERT(fixture.decide("a", false).m_admitted);
        fixture.m_spec = make_spec(milliseconds{4'000});
        CPPUNIT_ASSERT(!fixture.decide("a", false).m_admitted);
        CPPUNIT_ASSERT(fixture.decide("a", false).m_overloaded);
        // Another tenant is below its share.
        CPPUNIT_ASSERT(fixture.decide("b", false).m_admitted);
        // Free workers may be used.
        pool.m_waiting_cpu = 0;
        CPPUNIT_ASSERT(fixture.decide("a", false).m_admitted);
    }

    void late_work_delays_no_job_that_can_be_in_time()
    {
        admission_fixture fixture;
        auto& pool = fixture.m_pools[pool_name];
        pool.m_served_rate = cpu;
        auto& ranked = pool.m_backlog_by_tenant[0]["a"].m_contracted_ranked;
        ranked.m_late.add(milliseconds{500}, cpu * 60'000.0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, fixture.wait_of("a", false));
        // Too late for the objective of 1,400 ms, so that the late work comes first.
        ranked.m_in_time.add(milliseconds{100}, cpu * 1'200.0);
        CPPUNIT_ASSERT(!fixture.decide("a", false).m_admitted);
    }

    void job_is_admitted_after_its_retry_time_in_an_overload()
    {
        assert_property("job is admitted after its retry time in an overload", [] {
            const bool excess = *rc::gen::arbitrary<bool>();
            const auto served_rate = cpu * *rc::gen::inRange(30, 120) / 100.0;
            const auto rate = served_rate * *rc::gen::inRange(10, 300) / 100.0;
            const auto waiting = served_rate * *rc::gen::inRange(0, 10'000);
            const auto other = served_rate * *rc::gen::inRange(0, 10'000);
            // What is left after a time in which nothing arrives.
            const auto decide_after = [&](double passed_ms) {
                admission_fixture fixture;
                auto& pool = fixture.m_pools[pool_name];
                pool.m_served_rate = served_rate;
                // Contracted work of the other tenant comes before excess, else both have a half.
                const auto served = served_rate * passed_ms;
                const auto fair_part = excess ? served : std::max(served / 2.0, served - waiting);
                const auto served_other = std::min(fair_part, other);
                auto& backlog = pool.m_backlog_by_tenant[0];
                backlog["b"].m_contracted.m_cpu = other - served_other;
                auto& ranked = backlog["a"].ranked(excess);
                ranked.m_in_time.add(milliseconds{400},
                                     std::max(0.0, waiting - (served - served_other)));
                const auto window = static_cast<double>(overload_window.count());
                ranked.m_accepted_rate.add(milliseconds{400},
                                           rate * std::max(0.0, 1.0 - passed_ms / window));
                return fixture.decide("a", excess);
            };
            const auto decision = decide_after(0.0);
            const auto later =
                decide_after(static_cast<double>(decision.m_retry_after.count()) + 2.0);
            RC_ASSERT(later.m_admitted);
        });
    }

    // Jobs that become useless leave the backlog. So it stayed small, and no job was refused.
    void overload_of_a_tenth_for_minutes_made_long_jobs_useless()
    {
        // Real run times are off as a whole, too: in the last two, by half and more.
        for (const double real : {1.0, 1.5, 0.6}) {
            const auto total = run_steady_load(1.1, 1.1, real);
            const auto context = describe("all at their rates", total);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, total.m_refused_with_room);
            CPPUNIT_ASSERT_MESSAGE(context, total.m_contracted_refused * 15 <= total.m_sent);
            CPPUNIT_ASSERT_MESSAGE(context, total.m_useless * 30 <= total.m_useful);
            CPPUNIT_ASSERT_MESSAGE(context, total.m_useful * 100 >= total.m_sent * 92);
        }
    }

    void excess_is_refused_first_in_an_overload_of_a_tenth()
    {
        for (const double real : {1.0, 0.6}) {
            const auto total = run_steady_load(1.1, 0.64, real);
            const auto context = describe("a third is excess", total);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, total.m_refused_with_room);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, total.m_contracted_refused);
            CPPUNIT_ASSERT_MESSAGE(context, total.m_excess_refused > 0);
            CPPUNIT_ASSERT_MESSAGE(context, total.m_useless * 25 <= total.m_useful);
        }
    }

    void load_just_below_the_capacity_refuses_nearly_nothing()
    {
        const auto usual = run_steady_load(0.9, 1.1, 1.0);
        CPPUNIT_ASSERT_MESSAGE(describe("0.9", usual),
                               usual.m_contracted_refused * 1'000 <= usual.m_sent);
        const auto full = run_steady_load(0.97, 1.1, 1.0);
        CPPUNIT_ASSERT_MESSAGE(describe("0.97", full),
                               full.m_contracted_refused * 200 <= full.m_sent);
    }

private:
    /// Returns the sums over ten tenants that send for four minutes, served by rank, jobs of 150 to
    /// 2,000 ms. `load` is the part of the pool that they need, `contracted` the part of it that
    /// they have contracted.
    static tenant_outcome run_steady_load(double load, double contracted, double real)
    {
        replay_plan plan;
        plan.m_by_rank = true;
        plan.m_until_ms = 240'000;
        plan.m_shortest_ms = 150;
        plan.m_longest_ms = 2'000;
        plan.m_real = real;
        constexpr double usual_mean_ms = 500.0;
        constexpr double mean_ms = 1'075.0;
        plan.m_senders = make_senders(10, 0.5, load * usual_mean_ms / mean_ms / real);
        for (auto& sending : plan.m_senders) {
            sending.m_tenant.m_weight = sending.m_rate * contracted;
        }
        tenant_outcome total;
        for (const auto& [tenant, counts] : pool_replay{plan, 1}.run()) {
            total.m_sent += counts.m_sent;
            total.m_contracted += counts.m_contracted;
            total.m_contracted_refused += counts.m_contracted_refused;
            total.m_excess_refused += counts.m_excess_refused;
            total.m_refused_with_room += counts.m_refused_with_room;
            total.m_useful += counts.m_useful;
            total.m_useless += counts.m_useless;
        }
        return total;
    }

    static void serve_in_order(tenant_backlogs& backlogs, const tenant_directory& directory,
                               double capacity)
    {
        for (const bool excess : {false, true}) {
            while (capacity > 1e-3) {
                double weights = 0.0;
                for (auto& [name, backlog] : backlogs) {
                    weights += backlog.of(excess).m_cpu > 0.0 ? directory.share_weight(name) : 0.0;
                }
                if (weights == 0.0) {
                    break;
                }
                const auto round = capacity;
                for (auto& [name, backlog] : backlogs) {
                    auto& left = backlog.of(excess).m_cpu;
                    const auto served =
                        std::min(left, round * directory.share_weight(name) / weights);
                    left -= served;
                    capacity -= served;
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_admission_test);

} // namespace peridotrudder
