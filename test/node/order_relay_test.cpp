#include "peridotrudder/node/order_relay.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <utility>

namespace peridotrudder {

namespace {

constexpr std::uint32_t own_cpu = 500;
constexpr std::size_t large_fleet = 349;
constexpr std::size_t small_fleet = 49;

worker_report worker_named(const std::string& id)
{
    worker_report worker;
    worker.m_instance = {id, 17};
    worker.m_address = "10.0.0.1";
    worker.m_port = 8621;
    return worker;
}

start_order start_of(std::uint32_t index)
{
    start_order order;
    order.m_key = {"00000000000000aa", {0, 1, index}};
    order.m_run = 3;
    order.m_payload = "payload";
    order.m_deadline_ms = 4'000;
    order.m_fence = 9;
    return order;
}

/// Simulated loop, links and workers, driven by the test.
struct relay_fixture {
    moment m_now{time_point{milliseconds{1'000'000}}, 1'000'000};
    std::multimap<time_point, std::function<void()>> m_due;
    std::vector<std::pair<std::string, node_message>> m_sent;
    std::set<std::string> m_broken_links;
    std::vector<std::string> m_direct;
    std::vector<std::string> m_events;
    order_answer m_worker_answer{order_result::accepted, 77};

    relay_ports ports()
    {
        relay_ports ports;
        ports.m_loop.m_now = [this] { return m_now; };
        ports.m_loop.m_after = [this](milliseconds delay, std::function<void()> action) {
            m_due.emplace(m_now.m_at + delay, std::move(action));
        };
        const auto note = [this](std::string_view kind, const worker_report& to) {
            m_direct.push_back(
                fmt::format("{} {} {}:{}", kind, to.m_instance.m_worker, to.m_address, to.m_port));
        };
        ports.m_direct.m_start = [this, note](const worker_report& to, const start_order&,
                                              const worker_port::callback<order_answer>& done) {
            note("start", to);
            done(m_worker_answer);
        };
        ports.m_direct.m_stop = [this, note](const worker_report& to, const stop_order&,
                                             const worker_port::callback<order_answer>& done) {
            note("stop", to);
            done(m_worker_answer);
        };
        ports.m_direct.m_pace = [this, note](const worker_report& to, const pace_order&,
                                             const worker_port::callback<order_answer>& done) {
            note("pace", to);
            done(m_worker_answer);
        };
        ports.m_direct.m_hold = [note](const worker_report& to, const hold_order&,
                                       const worker_port::callback<hold_answer>& done) {
            note("hold", to);
            hold_answer answer;
            answer.m_result = order_result::accepted;
            answer.m_clock_ms = 78;
            done(answer);
        };
        ports.m_send = [this](const std::string& peer, const node_message& message) {
            if (m_broken_links.count(peer) != 0) {
                return false;
            }
            // Encoded and decoded, as over a link.
            const auto read = decode_node_message(encode_node_message(message));
            CPPUNIT_ASSERT_MESSAGE("the message can be read", read.has_value());
            m_sent.emplace_back(peer, *read);
            return true;
        };
        ports.m_log_event = [this](std::string_view event, const std::string&) {
            m_events.emplace_back(event);
        };
        return ports;
    }

    void pass(milliseconds time)
    {
        m_now.m_at += time;
        m_now.m_unix_ms += time.count();
        while (!m_due.empty() && m_due.begin()->first <= m_now.m_at) {
            const auto action = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            action();
        }
    }

    static std::vector<node_record> nodes(int large, int small)
    {
        std::vector<node_record> made;
        for (int index = 0; index < large + small; ++index) {
            node_record node;
            node.m_name = fmt::format("node-{}", index);
            node.m_incarnation = fmt::format("node-{}-i", index);
            node.m_cpu_millis = index < large ? own_cpu : 120;
            made.push_back(node);
        }
        return made;
    }
};

} // namespace

class order_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(order_relay_test);
    CPPUNIT_TEST(sends_orders_directly_while_the_fleet_is_small);
    CPPUNIT_TEST(relays_orders_of_a_large_fleet_through_a_few_large_nodes);
    CPPUNIT_TEST(batches_orders_and_returns_their_answers);
    CPPUNIT_TEST(orders_that_are_long_together_are_split);
    CPPUNIT_TEST(sends_all_orders_to_a_worker_through_one_relay);
    CPPUNIT_TEST(orders_at_a_lost_relay_count_as_unanswered);
    CPPUNIT_TEST(drops_a_silent_relay_until_its_backoff_ends);
    CPPUNIT_TEST(waits_for_a_hold_as_long_as_the_worker_may_wait);
    CPPUNIT_TEST(ignores_answers_of_a_dropped_relay);
    CPPUNIT_TEST(answer_to_an_order_of_an_earlier_epoch_is_not_taken_for_another_orders);
    CPPUNIT_TEST(a_relay_sends_every_kind_of_order_and_returns_the_answers_together);
    CPPUNIT_TEST(a_relay_that_was_paused_carried_out_orders_that_the_owner_had_given_up);
    CPPUNIT_TEST(a_relay_gets_no_orders_before_it_has_told_its_clock);
    CPPUNIT_TEST(a_relay_that_cannot_answer_gives_way_to_another);
    CPPUNIT_TEST(answer_that_was_held_up_does_not_make_later_orders_late);
    CPPUNIT_TEST(first_message_of_an_owner_was_never_late);
    CPPUNIT_TEST(orders_of_an_owner_that_was_paused_before_it_sent_them_were_in_time);
    CPPUNIT_TEST(a_relay_with_a_slower_clock_carries_out_all_orders);
    CPPUNIT_TEST_SUITE_END();

    relay_fixture m_fixture;

    std::unique_ptr<order_distributor> make_relay(std::size_t workers, std::uint64_t epoch = 1)
    {
        auto made = order_distributor::create({}, epoch, m_fixture.ports());
        made->select_relays(relay_fixture::nodes(6, 3), own_cpu, workers);
        tell_clocks(*made);
        return made;
    }

    /// Answers the distributor's questions for the clocks of its relays.
    void tell_clocks(order_distributor& relay)
    {
        auto sent = std::exchange(m_fixture.m_sent, {});
        relay.tick();
        const auto carrier = order_forwarder::create({}, m_fixture.ports());
        exchange(m_fixture, *carrier, m_fixture, relay);
        m_fixture.m_sent = std::move(sent);
    }

    /// Takes the messages from the owner to its relays, which all are `carrier`, and the answers
    /// back.
    static void exchange(relay_fixture& owner_side, order_forwarder& carrier,
                         relay_fixture& relay_side, order_distributor& relay)
    {
        for (const auto& [peer, message] : std::exchange(owner_side.m_sent, {})) {
            carrier.handle_orders(peer, std::get<relayed_orders>(message));
        }
        relay_side.pass(relay_options{}.m_batch_delay);
        for (const auto& [peer, message] : std::exchange(relay_side.m_sent, {})) {
            relay.handle_answers(peer, std::get<relayed_answers>(message));
        }
    }

    /// Answers all orders sent to a peer so far.
    void answer_all(order_distributor& relay, const std::string& from, const order_answer& with)
    {
        const auto sent = m_fixture.m_sent;
        for (const auto& [peer, message] : sent) {
            const auto* orders = std::get_if<relayed_orders>(&message);
            if (peer != from || orders == nullptr) {
                continue;
            }
            relayed_answers answers;
            for (const auto& order : orders->m_orders) {
                answers.m_answers.push_back({order.m_number, with, std::nullopt});
            }
            relay.handle_answers(from, answers);
        }
    }

public:
    void sends_orders_directly_while_the_fleet_is_small()
    {
        const auto relay = make_relay(small_fleet);

        relay->port().m_start(worker_named("w-1"), start_of(0), [](const order_answer&) {});
        m_fixture.pass(milliseconds{50});

        CPPUNIT_ASSERT(relay->relays().empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"start w-1 10.0.0.1:8621"}, m_fixture.m_direct.at(0));
        CPPUNIT_ASSERT(m_fixture.m_sent.empty());
    }

    void relays_orders_of_a_large_fleet_through_a_few_large_nodes()
    {
        const auto relay = make_relay(large_fleet);

        CPPUNIT_ASSERT_EQUAL(relay_options{}.m_max_relays, relay->relays().size());
        for (const auto& incarnation : relay->relays()) {
            CPPUNIT_ASSERT_MESSAGE(incarnation + " is one of the large nodes",
                                   incarnation < "node-6");
        }
    }

    void batches_orders_and_returns_their_answers()
    {
        const auto relay = make_relay(large_fleet);
        auto port = relay->port();
        int accepted = 0;
        for (std::uint32_t index = 0; index < 5; ++index) {
            port.m_start(worker_named("w-1"), start_of(index), [&](const order_answer& answer) {
                accepted += answer.m_result == order_result::accepted && answer.m_clock_ms == 5;
            });
        }
        CPPUNIT_ASSERT(m_fixture.m_sent.empty());

        m_fixture.pass(relay_options{}.m_batch_delay);

        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.m_sent.size());
        const auto& orders = std::get<relayed_orders>(m_fixture.m_sent[0].second).m_orders;
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, orders.size());
        CPPUNIT_ASSERT(orders[4].m_start->m_key == start_of(4).m_key);
        CPPUNIT_ASSERT_EQUAL(std::string{"payload"}, orders[4].m_start->m_payload);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000}, orders[4].m_start->m_deadline_ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{17}, orders[4].m_instance.m_born_ms);
        answer_all(*relay, m_fixture.m_sent[0].first, {order_result::accepted, 5});
        CPPUNIT_ASSERT_EQUAL(5, accepted);
    }

    // Guards against a frame of many long checkpoints, which is longer than a peer accepts.
    void orders_that_are_long_together_are_split()
    {
        const auto relay = make_relay(large_fleet);
        for (std::uint32_t index = 0; index < 5; ++index) {
            auto order = start_of(index);
            order.m_checkpoint = std::string(400'000, 'x');
            relay->port().m_start(worker_named("w-1"), order, [](const order_answer&) {});
        }
        m_fixture.pass(relay_options{}.m_batch_delay);

        std::vector<std::size_t> counts;
        for (const auto& sent : m_fixture.m_sent) {
            counts.push_back(std::get<relayed_orders>(sent.second).m_orders.size());
        }
        CPPUNIT_ASSERT(counts == (std::vector<std::size_t>{2, 2, 1}));
    }

    void sends_all_orders_to_a_worker_through_one_relay()
    {
        const auto relay = make_relay(large_fleet);
        auto port = relay->port();
        std::set<std::string> used;
        for (int worker = 0; worker < 40; ++worker) {
            const auto to = worker_named(fmt::format("w-{}", worker));
            m_fixture.m_sent.clear();
            port.m_start(to, start_of(0), [](const order_answer&) {});
            port.m_stop(to, {start_of(0).m_key, 3, 9}, [](const order_answer&) {});
            port.m_hold(to, {}, [](const hold_answer&) {});
            m_fixture.pass(milliseconds{5});

            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.m_sent.size());
            used.insert(m_fixture.m_sent[0].first);
        }
        CPPUNIT_ASSERT_EQUAL(relay->relays().size(), used.size());
    }

    void orders_at_a_lost_relay_count_as_unanswered()
    {
        const auto relay = make_relay(large_fleet);
        auto port = relay->port();
        auto start = order_result::accepted;
        auto hold = order_result::accepted;
        port.m_start(worker_named("w-1"), start_of(0),
                     [&](const order_answer& answer) { start = answer.m_result; });
        port.m_hold(worker_named("w-1"), {},
                    [&](const hold_answer& answer) { hold = answer.m_result; });
        m_fixture.pass(milliseconds{5});
        const auto lost = m_fixture.m_sent.at(0).first;

        relay->link_lost(lost);

        CPPUNIT_ASSERT(start == order_result::unanswered);
        CPPUNIT_ASSERT(hold == order_result::unanswered);
        CPPUNIT_ASSERT_EQUAL(std::string{"relay_lost"}, m_fixture.m_events.back());
    }

    void drops_a_silent_relay_until_its_backoff_ends()
    {
        const auto relay = make_relay(large_fleet);
        auto port = relay->port();
        auto start = order_result::accepted;
        port.m_start(worker_named("w-1"), start_of(0),
                     [&](const order_answer& answer) { start = answer.m_result; });
        m_fixture.pass(milliseconds{5});
        const auto silent = m_fixture.m_sent.at(0).first;

        m_fixture.pass(relay_options{}.m_answer_timeout);
        relay->tick();

        CPPUNIT_ASSERT(start == order_result::unanswered);
        const auto is_relay = [&] {
            relay->select_relays(relay_fixture::nodes(6, 3), own_cpu, large_fleet);
            const auto& now = relay->relays();
            return std::find(now.begin(), now.end(), silent) != now.end();
        };
        CPPUNIT_ASSERT(!is_relay());
        m_fixture.pass(relay_options{}.m_relay_backoff);
        CPPUNIT_ASSERT(is_relay());
    }

    void waits_for_a_hold_as_long_as_the_worker_may_wait()
    {
        const auto relay = make_relay(large_fleet);
        hold_order order;
        order.m_wait = milliseconds{1'000};
        bool answered = false;
        relay->port().m_hold(worker_named("w-1"), order,
                             [&](const hold_answer&) { answered = true; });

        m_fixture.pass(relay_options{}.m_answer_timeout + milliseconds{900});
        relay->tick();
        CPPUNIT_ASSERT(!answered);
        m_fixture.pass(milliseconds{100});
        relay->tick();
        CPPUNIT_ASSERT(answered);
    }

    void ignores_answers_of_a_dropped_relay()
    {
        const auto relay = make_relay(large_fleet);
        int answers = 0;
        relay->port().m_start(worker_named("w-1"), start_of(0),
                              [&](const order_answer&) { ++answers; });
        m_fixture.pass(milliseconds{5});
        const auto lost = m_fixture.m_sent.at(0).first;
        relay->link_lost(lost);

        answer_all(*relay, lost, {order_result::accepted, 5});

        CPPUNIT_ASSERT_EQUAL(1, answers);
    }

    // Guards against runs that were judged by another worker's answer after a change of the epoch.
    void answer_to_an_order_of_an_earlier_epoch_is_not_taken_for_another_orders()
    {
        const auto earlier = make_relay(large_fleet, 7);
        earlier->port().m_start(worker_named("w-1"), start_of(0), [](const order_answer&) {});
        m_fixture.pass(milliseconds{5});
        const auto [peer, message] = m_fixture.m_sent.at(0);
        const auto number = std::get<relayed_orders>(message).m_orders.at(0).m_number;

        const auto present = make_relay(large_fleet, 8);
        int answers = 0;
        present->port().m_start(worker_named("w-1"), start_of(1),
                                [&](const order_answer&) { ++answers; });
        m_fixture.pass(milliseconds{5});
        CPPUNIT_ASSERT_EQUAL(peer, m_fixture.m_sent.at(1).first);
        present->handle_answers(peer, {0, {{number, order_answer{}, std::nullopt}}});

        CPPUNIT_ASSERT_EQUAL(0, answers);
    }

    void a_relay_sends_every_kind_of_order_and_returns_the_answers_together()
    {
        const auto carrier = order_forwarder::create({}, m_fixture.ports());
        relayed_orders message;
        for (std::uint64_t number = 1; number <= 4; ++number) {
            relayed_order order;
            order.m_number = number;
            order.m_instance = {"w-1", 17};
            order.m_address = "10.0.0.2";
            order.m_port = 90;
            message.m_orders.push_back(order);
        }
        message.m_orders[0].m_start = start_of(0);
        message.m_orders[1].m_stop = stop_order{};
        message.m_orders[2].m_pace = pace_order{};
        message.m_orders[3].m_hold = hold_order{};
        message.m_deadline_ms = 1'001'100;

        carrier->handle_orders("owner-i", message);
        m_fixture.pass(relay_options{}.m_batch_delay);

        const std::vector<std::string> expected{"start w-1 10.0.0.2:90", "stop w-1 10.0.0.2:90",
                                                "pace w-1 10.0.0.2:90", "hold w-1 10.0.0.2:90"};
        CPPUNIT_ASSERT(expected == m_fixture.m_direct);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.m_sent.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"owner-i"}, m_fixture.m_sent[0].first);
        const auto& answers = std::get<relayed_answers>(m_fixture.m_sent[0].second).m_answers;
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, answers.size());
        CPPUNIT_ASSERT(answers[0].m_order->m_clock_ms == std::int64_t{77});
        CPPUNIT_ASSERT(!answers[0].m_hold);
        CPPUNIT_ASSERT(answers[3].m_hold->m_result == order_result::accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, answers[3].m_number);
    }

    // After the pause, starts reached workers whose runs a successor had already given up.
    void a_relay_that_was_paused_carried_out_orders_that_the_owner_had_given_up()
    {
        const auto carrier = order_forwarder::create({}, m_fixture.ports());
        auto message = message_with_a_start(1'001'100);
        carrier->handle_orders("owner-i", message);
        m_fixture.pass(milliseconds{1'000});
        message.m_deadline_ms += 1'000;
        carrier->handle_orders("owner-i", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.m_direct.size());
        message.m_deadline_ms += 100;
        m_fixture.pass(milliseconds{2'300});
        carrier->handle_orders("owner-i", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_fixture.m_direct.size());
        message.m_deadline_ms += 2'200;
        carrier->handle_orders("owner-i", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_fixture.m_direct.size());
    }

    void a_relay_gets_no_orders_before_it_has_told_its_clock()
    {
        const auto relay = order_distributor::create({}, 1, m_fixture.ports());
        relay->select_relays(relay_fixture::nodes(6, 3), own_cpu, large_fleet);
        relay->port().m_start(worker_named("w-1"), start_of(0), [](const order_answer&) {});
        m_fixture.pass(milliseconds{5});
        CPPUNIT_ASSERT(m_fixture.m_sent.empty());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("sent by the owner", std::size_t{1},
                                     m_fixture.m_direct.size());
        tell_clocks(*relay);
        relay->port().m_start(worker_named("w-1"), start_of(1), [](const order_answer&) {});
        m_fixture.pass(milliseconds{5});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.m_sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.m_direct.size());
    }

    // A node whose link to the owner was missing kept its place among the relays for good.
    void a_relay_that_cannot_answer_gives_way_to_another()
    {
        auto relay = order_distributor::create({}, 1, m_fixture.ports());
        relay->select_relays(relay_fixture::nodes(5, 0), own_cpu, 1'000);
        relay->tick();
        for (int index = 1; index < 4; ++index) {
            relay->handle_answers(fmt::format("node-{}-i", index), relayed_answers{1, {}});
        }
        const auto has = [&relay](const std::string& node) {
            const auto relays = relay->relays();
            return std::find(relays.begin(), relays.end(), node) != relays.end();
        };
        CPPUNIT_ASSERT(has("node-0-i") && !has("node-4-i"));
        for (int passed = 0; passed < 12; ++passed) {
            m_fixture.pass(milliseconds{100});
            relay->tick();
        }
        relay->select_relays(relay_fixture::nodes(5, 0), own_cpu, 1'000);
        CPPUNIT_ASSERT(!has("node-0-i") && has("node-4-i"));
    }

    // The clock of such an answer lies behind, so that orders in time would have been dropped.
    void answer_that_was_held_up_does_not_make_later_orders_late()
    {
        const auto relay = make_relay(large_fleet);
        m_fixture.pass(milliseconds{900});
        for (const auto& peer : relay->relays()) {
            relay->handle_answers(peer, {999'000, {}});
        }
        const auto carrier = order_forwarder::create({}, m_fixture.ports());
        relay->port().m_start(worker_named("w-1"), start_of(0), [](const order_answer&) {});
        m_fixture.pass(milliseconds{5});
        exchange(m_fixture, *carrier, m_fixture, *relay);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.m_direct.size());
    }

    // Orders that were held up before any other message reached workers that were judged by then.
    void first_message_of_an_owner_was_never_late()
    {
        const auto relay = make_relay(large_fleet);
        auto result = order_result::accepted;
        relay->port().m_start(worker_named("w-1"), start_of(0),
                              [&](const order_answer& answer) { result = answer.m_result; });
        m_fixture.pass(milliseconds{5});
        const auto [peer, message] = m_fixture.m_sent.at(0);
        m_fixture.m_sent.clear();
        m_fixture.pass(relay_options{}.m_answer_timeout);
        const auto carrier = order_forwarder::create({}, m_fixture.ports());
        carrier->handle_orders(peer, std::get<relayed_orders>(message));
        m_fixture.pass(milliseconds{5});
        CPPUNIT_ASSERT(m_fixture.m_direct.empty());
        relay->handle_answers(peer, std::get<relayed_answers>(m_fixture.m_sent.at(0).second));
        CPPUNIT_ASSERT(order_result::not_sent == result);
    }

    // A successor had judged the workers by then.
    void orders_of_an_owner_that_was_paused_before_it_sent_them_were_in_time()
    {
        const auto relay = make_relay(large_fleet);
        relay->port().m_start(worker_named("w-1"), start_of(0), [](const order_answer&) {});
        m_fixture.pass(relay_options{}.m_answer_timeout);
        const auto carrier = order_forwarder::create({}, m_fixture.ports());
        exchange(m_fixture, *carrier, m_fixture, *relay);
        CPPUNIT_ASSERT(m_fixture.m_direct.empty());
    }

    // The difference between the clocks grows without bound; it is no delay.
    void a_relay_with_a_slower_clock_carries_out_all_orders()
    {
        for (const std::int64_t owner_ms : {980, 1'020}) {
            relay_fixture owner_side;
            relay_fixture relay_side;
            relay_side.pass(milliseconds{70'000});
            const auto carrier = order_forwarder::create({}, relay_side.ports());
            const auto relay = order_distributor::create({}, 1, owner_side.ports());
            relay->select_relays(relay_fixture::nodes(6, 3), own_cpu, large_fleet);
            for (std::uint32_t second = 0; second < 300; ++second) {
                relay->tick();
                exchange(owner_side, *carrier, relay_side, *relay);
                relay->port().m_start(worker_named("w-1"), start_of(second),
                                      [](const order_answer&) {});
                owner_side.pass(relay_options{}.m_batch_delay);
                exchange(owner_side, *carrier, relay_side, *relay);
                owner_side.pass(milliseconds{owner_ms});
                relay_side.pass(milliseconds{1'000});
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{300}, relay_side.m_direct.size());
            CPPUNIT_ASSERT(owner_side.m_direct.empty());
        }
    }

private:
    static relayed_orders message_with_a_start(std::int64_t deadline_ms)
    {
        relayed_order order;
        order.m_instance = {"w-1", 17};
        order.m_address = "10.0.0.2";
        order.m_port = 90;
        order.m_start = start_of(0);
        return {deadline_ms, {order}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_relay_test);

} // namespace peridotrudder
