#include "peridotrudder/machines/worker_session.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

namespace {

constexpr std::uint64_t fence = 7;
const run_key key{"0123456789abcdef", {0, 0, 0}};
const run_key unknown_key{"00000000000000ff", {0, 0, 0}};
const time_point start{milliseconds{1'000'000}};

worker_report make_report(std::int64_t born_ms = 500)
{
    worker_report report;
    report.m_instance = {"i-1", born_ms};
    report.m_pool = "pool";
    report.m_address = "10.0.0.1";
    report.m_port = 80;
    report.m_capacity = {16'000, 32'000, 0};
    return report;
}

worker_session make_session()
{
    return worker_session::create(make_report(), fence, {}, start);
}

hold_answer make_answer(std::int64_t clock_ms)
{
    hold_answer answer;
    answer.m_result = order_result::accepted;
    answer.m_clock_ms = clock_ms;
    answer.m_born_ms = 500;
    return answer;
}

hold_answer no_answer()
{
    return {};
}

worker_run make_run(run_phase phase)
{
    worker_run run;
    run.m_run = 1;
    run.m_reserved = {4'000, 1'000, 0};
    run.m_phase = phase;
    return run;
}

/// Sends a hold at `sent_at` and answers it, which confirms the fencing token.
void confirm(worker_session& session, time_point sent_at, std::int64_t clock_ms = 0,
             std::int64_t born_ms = 500)
{
    CPPUNIT_ASSERT(session.next_hold(sent_at).has_value());
    auto answer = make_answer(clock_ms);
    answer.m_born_ms = born_ms;
    session.hold_answered(answer, sent_at, sent_at);
}

/// Asserts that the new incarnation gets work only once it has confirmed a higher token at `now`.
void assert_takes_work_after_a_higher_token(worker_session& session, time_point now,
                                            std::int64_t born_ms)
{
    CPPUNIT_ASSERT(!session.takes_work(now));
    CPPUNIT_ASSERT(session.fence() > fence);
    const auto sent = session.next_hold(now);
    CPPUNIT_ASSERT(sent.has_value());
    CPPUNIT_ASSERT_EQUAL(session.fence(), sent->m_fence);
    auto answer = make_answer(0);
    answer.m_born_ms = born_ms;
    session.hold_answered(answer, now, now);
    CPPUNIT_ASSERT(session.takes_work(now));
}

} // namespace

class worker_session_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_session_test);
    CPPUNIT_TEST(worker_takes_no_work_before_it_knows_the_fencing_token);
    CPPUNIT_TEST(draining_worker_takes_no_work);
    CPPUNIT_TEST(capacity_is_reserved_from_the_decision_until_the_release);
    CPPUNIT_TEST(idle_worker_gets_no_hold);
    CPPUNIT_TEST(end_is_reported_once_and_acknowledged_only_when_recorded);
    CPPUNIT_TEST(end_is_not_acknowledged_to_a_worker_that_may_have_restarted);
    CPPUNIT_TEST(run_confirmed_before_a_hold_and_not_listed_is_gone);
    CPPUNIT_TEST(run_on_a_row_that_could_not_be_read_was_gone);
    CPPUNIT_TEST(end_that_could_not_be_read_was_listed_for_good);
    CPPUNIT_TEST(end_that_may_have_been_successful_was_acknowledged);
    CPPUNIT_TEST(row_that_stayed_odd_hid_that_other_runs_were_lost);
    CPPUNIT_TEST(run_without_an_answer_is_not_gone_before_its_stop_is_answered);
    CPPUNIT_TEST(adopted_run_not_listed_by_the_first_hold_under_the_new_token_is_gone);
    CPPUNIT_TEST(run_unknown_to_the_owner_is_reported);
    CPPUNIT_TEST(lease_end_allows_for_a_slow_clock);
    CPPUNIT_TEST(hold_to_a_silent_worker_does_not_renew_its_lease);
    CPPUNIT_TEST(lease_outlasts_three_lost_answers);
    CPPUNIT_TEST(lease_is_renewed_while_ends_cannot_be_recorded);
    CPPUNIT_TEST(lease_of_a_worker_that_never_answered_includes_the_predecessors_grace);
    CPPUNIT_TEST(answer_to_another_order_does_not_end_a_predecessors_lease);
    CPPUNIT_TEST(start_accepted_by_an_unseen_incarnation_outlived_the_lease);
    CPPUNIT_TEST(late_renewal_meant_for_a_former_incarnation_outlived_the_lease);
    CPPUNIT_TEST(new_birth_time_means_a_restart);
    CPPUNIT_TEST(run_listed_by_a_new_incarnation_goes_on);
    CPPUNIT_TEST(start_in_flight_outlives_the_stop_and_the_clock_of_a_former_incarnation);
    CPPUNIT_TEST(start_not_sent_before_a_restart_is_void);
    CPPUNIT_TEST(listed_restart_is_confirmed_by_a_hold);
    CPPUNIT_TEST(later_incarnation_may_have_an_earlier_birth);
    CPPUNIT_TEST(listed_incarnation_that_a_later_hold_does_not_show_is_a_former_one);
    CPPUNIT_TEST(entry_with_a_birth_that_holds_do_not_confirm_still_tells_the_workers_state);
    CPPUNIT_TEST(late_entry_of_an_unknown_incarnation_gave_the_worker_its_capacity);
    CPPUNIT_TEST(late_entry_of_an_unknown_incarnation_ended_the_draining);
    CPPUNIT_TEST(incarnation_that_is_listed_before_it_answers_has_its_own_capacity);
    CPPUNIT_TEST(report_of_an_earlier_incarnation_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void worker_takes_no_work_before_it_knows_the_fencing_token()
    {
        auto session = make_session();
        CPPUNIT_ASSERT(!session.takes_work(start));
        const auto hold = session.next_hold(start);
        CPPUNIT_ASSERT(hold.has_value());
        CPPUNIT_ASSERT_EQUAL(fence, hold->m_fence);
        session.hold_answered(make_answer(0), start, start);
        CPPUNIT_ASSERT(session.takes_work(start));
    }

    void draining_worker_takes_no_work()
    {
        auto session = make_session();
        confirm(session, start);
        auto report = make_report();
        report.m_draining = true;
        session.update(report, start);
        CPPUNIT_ASSERT(!session.takes_work(start));
    }

    void capacity_is_reserved_from_the_decision_until_the_release()
    {
        auto session = make_session();
        session.reserve(key, make_run(run_phase::recording));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{12'000}, session.room().m_cpu_millis);
        session.find(key)->m_stopping = true;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{12'000}, session.room().m_cpu_millis);
        session.release(key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16'000}, session.room().m_cpu_millis);
    }

    void idle_worker_gets_no_hold()
    {
        auto session = make_session();
        confirm(session, start);
        CPPUNIT_ASSERT(!session.next_hold(start + milliseconds{60'000}).has_value());
    }

    void end_is_reported_once_and_acknowledged_only_when_recorded()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        const auto later = start + milliseconds{100};
        CPPUNIT_ASSERT(session.next_hold(later).has_value());
        auto answer = make_answer(100);
        answer.m_ended.push_back({1, key, 1, run_end::done, ""});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             session.hold_answered(answer, later, later).m_ended.size());
        session.release(key);
        CPPUNIT_ASSERT_MESSAGE("no hold may be sent before the end is recorded",
                               !session.next_hold(later + milliseconds{500}).has_value());
        session.ends_recorded(1);
        const auto hold = session.next_hold(later + milliseconds{500});
        CPPUNIT_ASSERT(hold.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, hold->m_last_end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             session.hold_answered(answer, later, later).m_ended.size());
    }

    void end_is_not_acknowledged_to_a_worker_that_may_have_restarted()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        auto now = start + milliseconds{100};
        CPPUNIT_ASSERT(session.next_hold(now).has_value());
        auto answer = make_answer(100);
        answer.m_ended.push_back({1, key, 1, run_end::done, ""});
        session.hold_answered(answer, now, now);
        session.ends_recorded(1);
        now += milliseconds{5'000};
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a long time without answers", std::uint64_t{0},
                                     session.next_hold(now)->m_last_end);
        session.hold_answered(no_answer(), now, now);
        now += milliseconds{200};
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a missed answer", std::uint64_t{0},
                                     session.next_hold(now)->m_last_end);
        session.hold_answered(answer, now, now);
        now += milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, session.next_hold(now)->m_last_end);
    }

    // It is started a second time while it runs.
    void run_on_a_row_that_could_not_be_read_was_gone()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        session.find(key)->m_confirmed_at = start;
        auto answer = make_answer(2'000);
        answer.m_unreadable = 1;
        const auto sent_at = start + milliseconds{2'000};
        CPPUNIT_ASSERT(session.next_hold(sent_at).has_value());
        CPPUNIT_ASSERT(session.hold_answered(answer, sent_at, sent_at).m_gone.empty());
        CPPUNIT_ASSERT(session.find(key) != nullptr);
        answer.m_unreadable.reset();
        const auto later = sent_at + milliseconds{2'000};
        CPPUNIT_ASSERT(session.next_hold(later).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             session.hold_answered(answer, later, later).m_gone.size());
    }

    // As long as the worker lists it, no list is complete.
    void end_that_could_not_be_read_was_listed_for_good()
    {
        auto session = make_session();
        confirm(session, start);
        auto answer = make_answer(2'000);
        answer.m_unreadable = 1;
        answer.m_unreadable_end = 9;
        const auto sent_at = start + milliseconds{2'000};
        CPPUNIT_ASSERT(session.hold_answered(answer, sent_at, sent_at).m_new_ends);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, session.newest_end());
    }

    // Its run then counted as lost, and the task started again.
    void end_that_may_have_been_successful_was_acknowledged()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        session.find(key)->m_confirmed_at = start;
        auto now = start + milliseconds{2'000};
        CPPUNIT_ASSERT(session.next_hold(now).has_value());
        auto answer = make_answer(2'000);
        answer.m_unreadable = 1;
        answer.m_unreadable_end = 1;
        answer.m_unclear_ends = {{1, key, 1}};
        const auto first = session.hold_answered(answer, now, now);
        CPPUNIT_ASSERT(first.m_gone.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.m_unclear_ends.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, session.newest_end());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("its capacity is free", std::int64_t{16'000},
                                     session.room().m_cpu_millis);
        now += milliseconds{2'000};
        answer.m_ended.push_back({2, unknown_key, 1, run_end::done, ""});
        const auto second = session.hold_answered(answer, now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.m_ended.size());
        CPPUNIT_ASSERT(second.m_gone.empty());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a later end would acknowledge it", std::uint64_t{0},
                                     session.newest_end());
        now += milliseconds{2'000};
        auto readable = make_answer(6'000);
        readable.m_ended = {{1, key, 1, run_end::done, ""}, {2, unknown_key, 1, run_end::done, ""}};
        const auto third = session.hold_answered(readable, now, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.m_ended.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, third.m_ended[0].m_number);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, session.newest_end());
    }

    void row_that_stayed_odd_hid_that_other_runs_were_lost()
    {
        auto session = make_session();
        confirm(session, start);
        const run_key lost{"0123456789abcdef", {0, 0, 1}};
        for (const auto& each : {key, lost}) {
            session.reserve(each, make_run(run_phase::running));
            session.find(each)->m_confirmed_at = start;
        }
        const auto now = start + milliseconds{2'000};
        CPPUNIT_ASSERT(session.next_hold(now).has_value());
        auto answer = make_answer(2'000);
        answer.m_unreadable = 1;
        answer.m_unclear_running = {{key}};
        const auto gone = session.hold_answered(answer, now, now).m_gone;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gone.size());
        CPPUNIT_ASSERT(lost == gone[0]);
        answer.m_unreadable = 2;
        CPPUNIT_ASSERT_MESSAGE("a row without a task may be any run's",
                               session.hold_answered(answer, now, now).m_gone.empty());
    }

    void run_confirmed_before_a_hold_and_not_listed_is_gone()
    {
        auto session = make_session();
        confirm(session, start);
        auto run = make_run(run_phase::running);
        run.m_confirmed_at = start + milliseconds{50};
        session.reserve(key, run);
        // This hold was sent before the start was confirmed, so it does not show that the run
        // ended.
        CPPUNIT_ASSERT(
            session
                .hold_answered(make_answer(60), start + milliseconds{40}, start + milliseconds{60})
                .m_gone.empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            session
                .hold_answered(make_answer(90), start + milliseconds{80}, start + milliseconds{90})
                .m_gone.size());
    }

    void run_without_an_answer_is_not_gone_before_its_stop_is_answered()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::uncertain));
        const auto later = start + milliseconds{5'000};
        CPPUNIT_ASSERT(session.hold_answered(make_answer(5'000), later, later).m_gone.empty());
        session.find(key)->m_cannot_start_since = later;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             session.hold_answered(make_answer(5'001), later, later).m_gone.size());
    }

    void adopted_run_not_listed_by_the_first_hold_under_the_new_token_is_gone()
    {
        auto session = make_session();
        auto run = make_run(run_phase::uncertain);
        run.m_cannot_start_since = start;
        session.reserve(key, run);
        CPPUNIT_ASSERT(session.next_hold(start).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             session.hold_answered(make_answer(0), start, start).m_gone.size());
    }

    void run_unknown_to_the_owner_is_reported()
    {
        auto session = make_session();
        CPPUNIT_ASSERT(session.next_hold(start).has_value());
        auto answer = make_answer(0);
        answer.m_running.push_back({key, 3, "", 10, 0});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             session.hold_answered(answer, start, start).m_unknown_runs.size());
    }

    void lease_end_allows_for_a_slow_clock()
    {
        lease_options options;
        auto session = worker_session::create(make_report(), fence, options, start);
        confirm(session, start, 1'000);
        session.reserve(key, make_run(run_phase::running));
        const auto hold = session.next_hold(start + options.m_hold_pause);
        CPPUNIT_ASSERT(hold && hold->m_deadline_ms);
        // A clock that is 2 % slow reaches the deadline after this.
        const auto lease_ms = static_cast<double>(*hold->m_deadline_ms - 1'000);
        const auto slowest = milliseconds{static_cast<std::int64_t>(lease_ms / 0.98)};
        CPPUNIT_ASSERT(session.lease_ends_at() >= start + slowest);
        CPPUNIT_ASSERT(lease_ms <= static_cast<double>(options.m_max_lease.count()));
    }

    void hold_to_a_silent_worker_does_not_renew_its_lease()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        auto now = start + milliseconds{100};
        // The hold after one lost answer still renews; otherwise three lost answers in a row would
        // let the lease of a healthy worker expire.
        for (int miss = 0; miss < 2; ++miss) {
            CPPUNIT_ASSERT(session.next_hold(now)->m_deadline_ms.has_value());
            session.hold_answered(no_answer(), now, now);
            now += milliseconds{600};
        }
        const auto lease_end = session.lease_ends_at();
        for (int miss = 0; miss < 5; ++miss) {
            now += milliseconds{600};
            const auto hold = session.next_hold(now);
            CPPUNIT_ASSERT(hold && !hold->m_deadline_ms);
            session.hold_answered(no_answer(), now, now);
        }
        CPPUNIT_ASSERT(session.silent());
        CPPUNIT_ASSERT(lease_end == session.lease_ends_at());
    }

    void lease_is_renewed_while_ends_cannot_be_recorded()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        auto sent_at = start + milliseconds{40};
        CPPUNIT_ASSERT(session.next_hold(sent_at).has_value());
        auto answer = make_answer(40);
        answer.m_running.push_back({key, 1, "", 10, 0});
        answer.m_ended.push_back({1, unknown_key, 1, run_end::done, ""});
        session.hold_answered(answer, sent_at, sent_at);

        CPPUNIT_ASSERT_MESSAGE("the end would be listed again at once",
                               !session.next_hold(sent_at + milliseconds{100}).has_value());
        sent_at += lease_options{}.m_hold_wait;
        const auto renewal = session.next_hold(sent_at);
        CPPUNIT_ASSERT(renewal.has_value());
        CPPUNIT_ASSERT(renewal->m_deadline_ms.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the worker must keep the end", std::uint64_t{0},
                                     renewal->m_last_end);
        const auto repeated = session.hold_answered(answer, sent_at, sent_at);
        CPPUNIT_ASSERT_MESSAGE("the end is reported once", repeated.m_ended.empty());
    }

    void lease_outlasts_three_lost_answers()
    {
        lease_options options;
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        auto now = start + milliseconds{100};
        auto lease_end = 0LL;
        // A hold without an answer times out half a second after its wait.
        const milliseconds answer_timeout = options.m_hold_wait + milliseconds{500};
        for (int lost = 0; lost < 3; ++lost) {
            while (!session.hold_due() || *session.hold_due() > now) {
                now += milliseconds{10};
            }
            const auto hold = session.next_hold(now);
            // The worker may not have received the order at all: only the first renewal counts.
            if (lost == 0) {
                lease_end = *hold->m_deadline_ms;
            }
            now += hold->m_wait + answer_timeout - options.m_hold_wait;
            session.hold_answered(no_answer(), now, now);
        }
        while (!session.hold_due() || *session.hold_due() > now) {
            now += milliseconds{10};
        }
        CPPUNIT_ASSERT((now - start).count() / 1'000'000 < lease_end);
    }

    void lease_of_a_worker_that_never_answered_includes_the_predecessors_grace()
    {
        lease_options options;
        const auto session_with_grace =
            worker_session::create(make_report(), fence, options, start);
        CPPUNIT_ASSERT(session_with_grace.lease_ends_at() >=
                       start + options.m_predecessor_grace + options.m_max_lease);
        options.m_predecessor_grace = milliseconds{0};
        const auto after_release = worker_session::create(make_report(), fence, options, start);
        CPPUNIT_ASSERT(after_release.lease_ends_at() >= start + options.m_max_lease);
        CPPUNIT_ASSERT(after_release.lease_ends_at() < session_with_grace.lease_ends_at());
    }

    void answer_to_another_order_does_not_end_a_predecessors_lease()
    {
        lease_options options;
        auto session = worker_session::create(make_report(), fence, options, start);
        session.reserve(key, make_run(run_phase::uncertain));
        session.order_answered({order_result::accepted, 1'000}, start);
        CPPUNIT_ASSERT(session.lease_ends_at() >=
                       start + options.m_predecessor_grace + options.m_max_lease);
        confirm(session, start, 1'000);
        CPPUNIT_ASSERT(session.lease_ends_at() >= start + options.m_max_lease);
    }

    // The deadline was one of the former clock, so the new incarnation granted its longest lease.
    void start_accepted_by_an_unseen_incarnation_outlived_the_lease()
    {
        constexpr std::int64_t former_clock_ms = 400'000;
        constexpr std::int64_t new_clock_ms = 300;
        lease_options options;
        auto session = make_session();
        confirm(session, start, former_clock_ms);
        session.reserve(key, make_run(run_phase::ordered));
        session.start_deadline(start);
        session.order_answered({order_result::accepted, new_clock_ms}, start);
        CPPUNIT_ASSERT(session.restart_suspected());
        CPPUNIT_ASSERT(!session.takes_work(start));
        CPPUNIT_ASSERT(session.lease_ends_at() >= start + options.m_max_lease);
        CPPUNIT_ASSERT(session.next_hold(start).has_value());
    }

    // The grace of a predecessor that released the fleet is zero.
    void late_renewal_meant_for_a_former_incarnation_outlived_the_lease()
    {
        lease_options options;
        options.m_predecessor_grace = milliseconds{0};
        auto session = worker_session::create(make_report(), fence, options, start);
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        auto answer = make_answer(0);
        answer.m_born_ms = 900;
        answer.m_running.push_back({key, 1, "", 10, 0});
        session.hold_answered(answer, start, start);
        CPPUNIT_ASSERT(session.lease_ends_at() >=
                       start + options.m_longest_order_delay + options.m_max_lease);
        confirm(session, start, 0, 900);
        CPPUNIT_ASSERT(session.lease_ends_at() < start + options.m_longest_order_delay);
    }

    void new_birth_time_means_a_restart()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        auto answer = make_answer(0);
        answer.m_born_ms = 900;
        const auto outcome = session.hold_answered(answer, start, start);
        CPPUNIT_ASSERT(outcome.m_restarted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{900}, session.instance().m_born_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcome.m_gone.size());
        session.release(key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16'000}, session.room().m_cpu_millis);
    }

    void run_listed_by_a_new_incarnation_goes_on()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        auto answer = make_answer(0);
        answer.m_born_ms = 900;
        answer.m_running.push_back({key, 1, "", 10, 0});
        const auto outcome = session.hold_answered(answer, start, start);
        CPPUNIT_ASSERT(outcome.m_gone.empty());
        CPPUNIT_ASSERT(outcome.m_unknown_runs.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{12'000}, session.room().m_cpu_millis);
    }

    void start_in_flight_outlives_the_stop_and_the_clock_of_a_former_incarnation()
    {
        auto session = make_session();
        confirm(session, start, 100'000);
        auto run = make_run(run_phase::uncertain);
        run.m_unanswered_since = start;
        run.m_start_deadline_ms = 101'000;
        run.m_stop_answered_at = start;
        session.reserve(key, run);
        const auto later = start + milliseconds{5'000};
        auto answer = make_answer(200'000);
        answer.m_born_ms = 900;
        const auto outcome = session.hold_answered(answer, later, later);
        CPPUNIT_ASSERT(outcome.m_gone.empty());
        CPPUNIT_ASSERT_MESSAGE("the higher token rules the start out, not a stop",
                               outcome.m_not_begun.empty());
        CPPUNIT_ASSERT(!session.find(key)->m_stop_answered_at);
        CPPUNIT_ASSERT_EQUAL(fence + 1, session.next_hold(later)->m_fence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             session.hold_answered(answer, later, later).m_gone.size());
    }

    void start_not_sent_before_a_restart_is_void()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::recording));
        auto answer = make_answer(0);
        answer.m_born_ms = 900;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             session.hold_answered(answer, start, start).m_gone.size());
    }

    void listed_restart_is_confirmed_by_a_hold()
    {
        auto session = make_session();
        confirm(session, start);
        session.update(make_report(900), start + milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, session.instance().m_born_ms);
        CPPUNIT_ASSERT(!session.takes_work(start + milliseconds{100}));
        session.hold_answered(make_answer(90), start + milliseconds{90}, start + milliseconds{110});
        CPPUNIT_ASSERT_MESSAGE("this answer may be from before the restart",
                               !session.takes_work(start + milliseconds{110}));
        const auto later = start + milliseconds{200};
        CPPUNIT_ASSERT(session.next_hold(later).has_value());
        auto answer = make_answer(5);
        answer.m_born_ms = 900;
        CPPUNIT_ASSERT(session.hold_answered(answer, later, later).m_restarted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{900}, session.instance().m_born_ms);
        assert_takes_work_after_a_higher_token(session, later, 900);
    }

    void later_incarnation_may_have_an_earlier_birth()
    {
        auto session = make_session();
        confirm(session, start);
        session.reserve(key, make_run(run_phase::running));
        auto later_report = make_report(400);
        later_report.m_port = 81;
        session.update(later_report, start);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{81}, session.report().m_port);
        auto answer = make_answer(0);
        answer.m_born_ms = 400;
        CPPUNIT_ASSERT(session.hold_answered(answer, start, start).m_restarted);
        session.release(key);
        assert_takes_work_after_a_higher_token(session, start, 400);
    }

    void listed_incarnation_that_a_later_hold_does_not_show_is_a_former_one()
    {
        auto session = make_session();
        confirm(session, start);
        session.update(make_report(600), start + milliseconds{10});
        const auto later = start + milliseconds{50};
        confirm(session, later, 50);
        CPPUNIT_ASSERT(session.takes_work(later));
        session.update(make_report(600), later);
        CPPUNIT_ASSERT(session.takes_work(later));
    }

    // Guards against entries that were ignored for good since their birth is not the holds' one.
    void entry_with_a_birth_that_holds_do_not_confirm_still_tells_the_workers_state()
    {
        auto session = make_session();
        confirm(session, start);
        session.update(make_report(600), start + milliseconds{10});
        const auto later = start + milliseconds{50};
        confirm(session, later, 50);
        auto draining = make_report(600);
        draining.m_draining = true;
        draining.m_capacity.m_cpu_millis = 8'000;
        session.update(draining, later);
        CPPUNIT_ASSERT(!session.takes_work(later));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8'000}, session.room().m_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, session.instance().m_born_ms);
    }

    // It was filled beyond its own capacity.
    void late_entry_of_an_unknown_incarnation_gave_the_worker_its_capacity()
    {
        auto session = make_session();
        confirm(session, start);
        auto late = make_report(300);
        late.m_capacity = {32'000, 64'000, 4};
        session.update(late, start + milliseconds{10});
        confirm(session, start + milliseconds{50}, 50);
        CPPUNIT_ASSERT(session.takes_work(start + milliseconds{50}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16'000}, session.room().m_cpu_millis);
        session.update(late, start + milliseconds{60});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16'000}, session.room().m_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{32'000}, session.room().m_memory_mb);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, session.room().m_accelerators);
    }

    void late_entry_of_an_unknown_incarnation_ended_the_draining()
    {
        auto session = make_session();
        confirm(session, start);
        auto draining = make_report();
        draining.m_draining = true;
        session.update(draining, start);
        session.update(make_report(300), start + milliseconds{10});
        confirm(session, start + milliseconds{50}, 50);
        CPPUNIT_ASSERT(!session.takes_work(start + milliseconds{50}));
        session.update(make_report(), start + milliseconds{60});
        CPPUNIT_ASSERT(session.takes_work(start + milliseconds{60}));
    }

    void incarnation_that_is_listed_before_it_answers_has_its_own_capacity()
    {
        auto session = make_session();
        confirm(session, start);
        auto larger = make_report(900);
        larger.m_capacity.m_cpu_millis = 32'000;
        session.update(larger, start + milliseconds{10});
        const auto later = start + milliseconds{50};
        confirm(session, later, 5, 900);
        assert_takes_work_after_a_higher_token(session, later, 900);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{32'000}, session.room().m_cpu_millis);
    }

    void report_of_an_earlier_incarnation_changes_nothing()
    {
        auto session = worker_session::create(make_report(400), fence, {}, start);
        auto first_answer = make_answer(0);
        first_answer.m_born_ms = 400;
        session.hold_answered(first_answer, start, start);
        session.hold_answered(make_answer(0), start, start);
        confirm(session, start);
        CPPUNIT_ASSERT_MESSAGE("the capacity is the former incarnation's",
                               !session.takes_work(start));
        session.update(make_report(500), start);
        auto earlier_report = make_report(400);
        earlier_report.m_pool = "other";
        session.update(earlier_report, start);
        CPPUNIT_ASSERT_EQUAL(std::string{"pool"}, session.report().m_pool);
        CPPUNIT_ASSERT(session.takes_work(start));
        CPPUNIT_ASSERT(!session.hold_due());
        session.update(make_report(600), start);
        CPPUNIT_ASSERT(!session.takes_work(start));
        CPPUNIT_ASSERT(session.hold_due());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_session_test);

} // namespace peridotrudder
