#include "cluster_fixture.hpp"
#include "peridotrudder/ownership/self_registration.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

/// A registration of the process `self-1` that reads the topic in each step.
struct registration_fixture {
    manual_loop m_loop;
    memory_log m_log{m_loop};
    std::set<std::string> m_linked;
    self_registration m_registration{make()};
    std::size_t m_read{0};

    self_registration make()
    {
        registration_options options;
        options.m_self = make_node("self", "self-1");
        options.m_topic = "topic";
        registration_ports ports;
        ports.m_loop = m_loop.port();
        ports.m_log = m_log.port();
        ports.m_linked = [this](const std::string& incarnation) {
            return m_linked.count(incarnation) != 0;
        };
        ports.m_log_event = [](std::string_view /*event*/, const std::string& /*detail*/) {};
        return self_registration::create(options, ports);
    }

    void run_for(milliseconds time)
    {
        m_loop.run_for(time, [this] {
            const std::vector<keyed_record> news(m_log.m_records.begin() +
                                                     static_cast<std::ptrdiff_t>(m_read),
                                                 m_log.m_records.end());
            m_read = m_log.m_records.size();
            if (!news.empty()) {
                m_registration.take(news, false, m_read);
            }
            m_registration.tick();
        });
    }
};

} // namespace

class self_registration_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(self_registration_test);
    CPPUNIT_TEST(registration_that_stands_is_not_repeated);
    CPPUNIT_TEST(refused_registration_is_tried_until_it_is_written);
    CPPUNIT_TEST(only_one_append_is_in_flight);
    CPPUNIT_TEST(younger_process_with_a_link_is_left_alone);
    CPPUNIT_TEST(younger_process_without_a_link_is_replaced);
    CPPUNIT_TEST(two_living_processes_do_not_write_in_turns_for_ever);
    CPPUNIT_TEST(own_record_with_another_address_is_replaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void registration_that_stands_is_not_repeated()
    {
        registration_fixture test;
        test.m_registration.start();
        test.run_for(milliseconds{60'000});
        CPPUNIT_ASSERT_EQUAL(1, test.m_log.m_appends);
    }

    void refused_registration_is_tried_until_it_is_written()
    {
        registration_fixture test;
        test.m_log.m_away = true;
        test.m_registration.start();
        test.run_for(milliseconds{3'000});
        CPPUNIT_ASSERT(test.m_log.m_appends > 5);
        test.m_log.m_away = false;
        test.run_for(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::string{"self-1"}, test.m_log.registered("self"));
    }

    void only_one_append_is_in_flight()
    {
        registration_fixture test;
        test.m_registration.start();
        for (int tick = 0; tick < 10; ++tick) {
            test.m_registration.take({{"node/self", std::nullopt, 0}}, false, 1);
            test.m_registration.tick();
        }
        CPPUNIT_ASSERT_EQUAL(1, test.m_log.m_appends);
    }

    void younger_process_with_a_link_is_left_alone()
    {
        registration_fixture test;
        test.m_registration.start();
        test.run_for(milliseconds{100});
        test.m_log.put_node(make_node("self", "self-2", 4'500'000));
        test.run_for(milliseconds{500});
        test.m_linked.insert("self-2");
        test.run_for(milliseconds{20'000});
        CPPUNIT_ASSERT_EQUAL(std::string{"self-2"}, test.m_log.registered("self"));
    }

    // The clocks of the two hosts may differ.
    void younger_process_without_a_link_is_replaced()
    {
        registration_fixture test;
        test.m_registration.start();
        test.run_for(milliseconds{100});
        test.m_log.put_node(make_node("self", "self-2", 4'500'000));
        test.run_for(milliseconds{2'500});
        CPPUNIT_ASSERT_EQUAL(std::string{"self-1"}, test.m_log.registered("self"));
    }

    void two_living_processes_do_not_write_in_turns_for_ever()
    {
        registration_fixture test;
        test.m_registration.start();
        test.run_for(milliseconds{100});
        for (int second = 0; second < 60; ++second) {
            test.m_log.put_node(make_node("self", "self-0", 3'000'000));
            test.run_for(milliseconds{1'000});
        }
        CPPUNIT_ASSERT_MESSAGE("at most one write in 5 s, after the first few",
                               test.m_log.m_appends <= 18);
    }

    void own_record_with_another_address_is_replaced()
    {
        registration_fixture test;
        test.m_registration.start();
        test.run_for(milliseconds{100});
        auto moved = make_node("self", "self-1");
        moved.m_port = 9'000;
        test.m_log.put_node(moved);
        test.run_for(milliseconds{100});
        const auto node = from_packed_cbor<node_record>(*test.m_log.m_records.back().m_value);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7'000}, node->m_port);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(self_registration_test);

} // namespace peridotrudder
