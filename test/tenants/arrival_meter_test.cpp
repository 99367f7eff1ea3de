#include "peridotrudder/tenants/arrival_meter.hpp"

#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace peridotrudder {

namespace {

constexpr std::int64_t start_ms = 5'000'000;

moment moment_at(std::int64_t ms)
{
    return {time_point{milliseconds{start_ms + ms}}, start_ms + ms};
}

tenant_config make_tenant(double weight)
{
    tenant_config tenant;
    tenant.m_name = "tenant";
    tenant.m_weight = weight;
    return tenant;
}

/// The jobs that an owner has recorded, and its meter.
struct metered_owner {
    std::map<std::string, job, std::less<>> m_jobs;
    arrival_meter m_meter;

    /// Accepts a job and returns whether it is contracted.
    bool submit(const tenant_config& tenant, std::int64_t ms)
    {
        const auto now = moment_at(ms);
        const bool contracted = m_meter.is_contracted(tenant, now.m_at);
        if (contracted) {
            m_meter.accept_contracted(tenant, now.m_at);
        }
        job_header header;
        header.m_id = std::to_string(m_jobs.size());
        header.m_accepted_ms = now.m_unix_ms;
        header.m_spec.m_steps.resize(1);
        header.m_tenant = job_tenant{tenant.m_name, !contracted};
        m_jobs.emplace(header.m_id, job::create(header));
        return contracted;
    }

    /// Submits jobs at equal distances and returns how many are contracted.
    int submit_many(const tenant_config& tenant, std::int64_t from_ms, std::int64_t until_ms,
                    std::int64_t distance_ms)
    {
        int contracted = 0;
        for (auto ms = from_ms; ms < until_ms; ms += distance_ms) {
            contracted += submit(tenant, ms) ? 1 : 0;
        }
        return contracted;
    }

    void replace(moment now) { m_meter = arrival_meter::restore(m_jobs, now); }
};

} // namespace

class arrival_meter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(arrival_meter_test);
    CPPUNIT_TEST(burst_of_two_seconds_is_contracted_then_the_rate);
    CPPUNIT_TEST(tenant_at_its_rate_has_no_excess);
    CPPUNIT_TEST(slow_tenant_has_a_burst_of_one_job);
    CPPUNIT_TEST(asking_takes_no_token);
    CPPUNIT_TEST(absurd_weights_are_no_error);
    CPPUNIT_TEST(lowered_weight_limits_saved_tokens);
    CPPUNIT_TEST(clock_that_goes_back_neither_adds_nor_blocks_tokens);
    CPPUNIT_TEST(successor_continues_a_burst);
    CPPUNIT_TEST(successor_knows_that_a_steady_sender_had_no_tokens);
    CPPUNIT_TEST(successor_gives_each_tenant_its_own_tokens);
    CPPUNIT_TEST(wrong_wall_clocks_cost_at_most_one_burst);
    CPPUNIT_TEST(contracted_jobs_stay_within_rate_and_burst_across_changes_of_owner);
    CPPUNIT_TEST(tenants_that_are_removed_are_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void burst_of_two_seconds_is_contracted_then_the_rate()
    {
        metered_owner owner;
        const auto tenant = make_tenant(10.0);
        CPPUNIT_ASSERT_EQUAL(20, owner.submit_many(tenant, 0, 60, 1));
        // Seven times the rate for ten seconds.
        const auto contracted = owner.submit_many(tenant, 60, 10'060, 14);
        CPPUNIT_ASSERT(contracted >= 99 && contracted <= 101);
    }

    void tenant_at_its_rate_has_no_excess()
    {
        metered_owner owner;
        // 3,000 jobs, 333 ms apart: rounding of the refills would add up.
        CPPUNIT_ASSERT_EQUAL(3'000,
                             owner.submit_many(make_tenant(1'000.0 / 333.0), 0, 999'000, 333));
    }

    void slow_tenant_has_a_burst_of_one_job()
    {
        metered_owner owner;
        const auto tenant = make_tenant(0.1);
        CPPUNIT_ASSERT(owner.submit(tenant, 0));
        CPPUNIT_ASSERT(!owner.submit(tenant, 9'900));
        CPPUNIT_ASSERT(owner.submit(tenant, 10'000));
    }

    // A refused job that is submitted again would take a second token.
    void asking_takes_no_token()
    {
        arrival_meter meter;
        const auto tenant = make_tenant(0.5);
        for (int retry = 0; retry < 100; ++retry) {
            CPPUNIT_ASSERT(meter.is_contracted(tenant, moment_at(0).m_at));
        }
        meter.accept_contracted(tenant, moment_at(0).m_at);
        CPPUNIT_ASSERT(!meter.is_contracted(tenant, moment_at(0).m_at));
    }

    void absurd_weights_are_no_error()
    {
        constexpr auto infinity = std::numeric_limits<double>::infinity();
        for (const auto weight : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), -infinity,
                                  std::numeric_limits<double>::denorm_min()}) {
            metered_owner owner;
            CPPUNIT_ASSERT_EQUAL(0, owner.submit_many(make_tenant(weight), 0, 5'000, 500));
        }
        for (const auto weight : {1e300, infinity, std::numeric_limits<double>::max()}) {
            metered_owner owner;
            CPPUNIT_ASSERT_EQUAL(1'000, owner.submit_many(make_tenant(weight), 0, 1'000, 1));
        }
    }

    void lowered_weight_limits_saved_tokens()
    {
        metered_owner owner;
        CPPUNIT_ASSERT(owner.submit(make_tenant(100.0), 0));
        CPPUNIT_ASSERT_EQUAL(2, owner.submit_many(make_tenant(1.0), 10, 20, 1));
    }

    void clock_that_goes_back_neither_adds_nor_blocks_tokens()
    {
        metered_owner owner;
        const auto tenant = make_tenant(1.0);
        CPPUNIT_ASSERT_EQUAL(2, owner.submit_many(tenant, 10'000, 10'003, 1));
        CPPUNIT_ASSERT(!owner.submit(tenant, 0));
        CPPUNIT_ASSERT(!owner.submit(tenant, 10'500));
        CPPUNIT_ASSERT(owner.submit(tenant, 11'000));
        CPPUNIT_ASSERT(!owner.submit(tenant, 11'001));
    }

    // The successor would grant a second burst to a tenant that has just used its own.
    void successor_continues_a_burst()
    {
        metered_owner owner;
        const auto tenant = make_tenant(10.0);
        CPPUNIT_ASSERT_EQUAL(12, owner.submit_many(tenant, 0, 12, 1));
        owner.replace(moment_at(100));
        // Eight are left of the burst; one is new.
        CPPUNIT_ASSERT_EQUAL(9, owner.submit_many(tenant, 100, 130, 1));
    }

    // The records that are replayed hold as many contracted jobs as the bucket gets tokens, so that
    // it would seem full.
    void successor_knows_that_a_steady_sender_had_no_tokens()
    {
        metered_owner owner;
        const auto tenant = make_tenant(10.0);
        owner.submit_many(tenant, 0, 100'000, 20);
        owner.replace(moment_at(100'000));
        CPPUNIT_ASSERT(owner.submit_many(tenant, 100'000, 100'050, 1) <= 2);
    }

    void successor_gives_each_tenant_its_own_tokens()
    {
        metered_owner owner;
        const auto tenant = make_tenant(10.0);
        auto other = tenant;
        other.m_name = "other";
        CPPUNIT_ASSERT_EQUAL(20, owner.submit_many(tenant, 0, 40, 1));
        owner.replace(moment_at(40));
        CPPUNIT_ASSERT_EQUAL(20, owner.submit_many(other, 40, 80, 1));
    }

    void wrong_wall_clocks_cost_at_most_one_burst()
    {
        for (const std::int64_t skew_ms : {-3'600'000, -5'000, 5'000, 3'600'000}) {
            metered_owner owner;
            const auto tenant = make_tenant(10.0);
            owner.submit_many(tenant, 0, 10'000, 20);
            auto now = moment_at(10'000);
            now.m_unix_ms += skew_ms;
            owner.replace(now);
            CPPUNIT_ASSERT(owner.submit_many(tenant, 10'000, 10'050, 1) <= 21);
            // Whatever the records say, the rate applies again from now on.
            const auto contracted = owner.submit_many(tenant, 12'050, 14'050, 20);
            CPPUNIT_ASSERT(contracted >= 20 && contracted <= 41);
        }
    }

    void contracted_jobs_stay_within_rate_and_burst_across_changes_of_owner()
    {
        assert_property("contracted jobs stay within rate and burst", [] {
            const auto weight = *rc::gen::inRange(1, 200) / 10.0;
            const auto tenant = make_tenant(weight);
            metered_owner owner;
            std::int64_t now_ms = 0;
            int contracted = 0;
            const auto pauses = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
            for (const auto pause : pauses) {
                now_ms += pause;
                if (pause % 10 == 0) {
                    owner.replace(moment_at(now_ms));
                }
                contracted += owner.submit(tenant, now_ms) ? 1 : 0;
            }
            // Records of up to 60 s are replayed, longer than these histories: nothing is lost.
            RC_ASSERT(contracted <= std::max(1.0, 2.0 * weight) +
                                        weight * static_cast<double>(now_ms) / 1'000.0 + 0.01);
        });
    }

    void tenants_that_are_removed_are_dropped()
    {
        metered_owner owner;
        const auto tenant = make_tenant(1.0);
        CPPUNIT_ASSERT_EQUAL(2, owner.submit_many(tenant, 0, 3, 1));
        owner.m_meter.retain(tenant_directory::create({tenant}));
        CPPUNIT_ASSERT(!owner.submit(tenant, 3));
        owner.m_meter.retain(tenant_directory::create({}));
        CPPUNIT_ASSERT(owner.submit(tenant, 4));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(arrival_meter_test);

} // namespace peridotrudder
