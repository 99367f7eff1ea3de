#include "peridotrudder/scheduling/run_times.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace peridotrudder {

namespace {

constexpr milliseconds declared{1'000};

run_class class_named(const std::string& image, const std::string& queue = "host/queue/")
{
    return {queue, image, {1'500, 2'000, 0}};
}

measured_run run_of(const std::string& image, milliseconds took, const std::string& worker = "i-1")
{
    return {class_named(image), {worker, 1}, declared, took, 1.0};
}

void learn_times(run_times& times, const std::string& image, milliseconds took, int runs,
                 const std::string& worker = "i-1")
{
    for (int run = 0; run < runs; ++run) {
        times.learn(run_of(image, took, worker));
    }
}

void assert_near(milliseconds wanted, milliseconds found, milliseconds tolerance)
{
    CPPUNIT_ASSERT_DOUBLES_EQUAL(static_cast<double>(wanted.count()),
                                 static_cast<double>(found.count()),
                                 static_cast<double>(tolerance.count()));
}

worker_run run_with_progress(time_point began, std::uint32_t percent, milliseconds shown_after)
{
    worker_run run;
    run.m_phase = run_phase::running;
    run.m_confirmed_at = began;
    run.m_percent = percent;
    run.m_progress_at = began + shown_after;
    return run;
}

} // namespace

class run_times_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(run_times_test);
    CPPUNIT_TEST(estimate_is_used_before_anything_is_learned);
    CPPUNIT_TEST(stragglers_do_not_change_the_expected_time);
    CPPUNIT_TEST(new_class_uses_the_estimate_corrected_by_its_queue);
    CPPUNIT_TEST(jobs_of_different_size_follow_their_estimates);
    CPPUNIT_TEST(slow_worker_does_not_change_the_expected_time_of_its_tasks);
    CPPUNIT_TEST(straggler_made_its_worker_look_slow);
    CPPUNIT_TEST(expected_time_shrank_as_its_worker_looked_slower);
    CPPUNIT_TEST(run_far_from_its_data_counts_as_a_run_beside_it);
    CPPUNIT_TEST(speed_is_forgotten_with_the_incarnation);
    CPPUNIT_TEST(times_are_forgotten_with_the_queue);
    CPPUNIT_TEST(memory_grew_with_each_new_image);
    CPPUNIT_TEST(remaining_time_follows_the_progress);
    CPPUNIT_TEST(run_without_progress_was_expected_to_end_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void estimate_is_used_before_anything_is_learned()
    {
        run_times times;
        CPPUNIT_ASSERT(declared == times.expected(class_named("a"), declared));
        learn_times(times, "a", milliseconds{3'000}, 2);
        CPPUNIT_ASSERT(declared == times.expected(class_named("a"), declared));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, times.runs_of(class_named("a")));
    }

    // A mean of such times is a fifth too long.
    void stragglers_do_not_change_the_expected_time()
    {
        run_times times;
        std::mt19937_64 random{20261204};
        for (int run = 0; run < 330; ++run) {
            const milliseconds usual{400 + random() % 267};
            times.learn(run_of("a", run % 33 == 0 ? usual * 7 : usual));
        }
        assert_near(milliseconds{533}, times.expected(class_named("a"), declared),
                    milliseconds{70});
    }

    void new_class_uses_the_estimate_corrected_by_its_queue()
    {
        run_times times;
        learn_times(times, "a", milliseconds{500}, 8);
        assert_near(milliseconds{1'000}, times.expected(class_named("b"), milliseconds{2'000}),
                    milliseconds{1});
        CPPUNIT_ASSERT(declared == times.expected(class_named("b", "host/other/"), declared));
    }

    void jobs_of_different_size_follow_their_estimates()
    {
        run_times times;
        for (int size = 1; size <= 32; ++size) {
            times.learn({class_named("a"),
                         {"i-1", 1},
                         milliseconds{200 * size},
                         milliseconds{300 * size},
                         1.0});
        }
        assert_near(milliseconds{6'000}, times.expected(class_named("a"), milliseconds{4'000}),
                    milliseconds{50});
    }

    void slow_worker_does_not_change_the_expected_time_of_its_tasks()
    {
        run_times times;
        for (int run = 0; run < 200; ++run) {
            times.learn(run_of("a", milliseconds{500}, "i-1"));
            times.learn(run_of("a", milliseconds{500}, "i-2"));
            times.learn(run_of("a", milliseconds{800}, "i-3"));
        }
        assert_near(milliseconds{500}, times.expected(class_named("a"), declared),
                    milliseconds{25});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.6, times.slowness({"i-3", 1}), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, times.slowness({"i-1", 1}), 0.1);
    }

    void straggler_made_its_worker_look_slow()
    {
        run_times times;
        learn_times(times, "a", milliseconds{500}, 40);
        times.learn(run_of("a", milliseconds{3'500}));
        CPPUNIT_ASSERT(times.slowness({"i-1", 1}) < 1.15);
    }

    // Times were divided by a speed that was measured by them.
    void expected_time_shrank_as_its_worker_looked_slower()
    {
        run_times times;
        std::mt19937_64 random{20261204};
        for (int run = 0; run < 5'000; ++run) {
            const milliseconds usual{400 + random() % 267};
            times.learn(run_of("a", run % 33 == 0 ? usual * 7 : usual));
        }
        assert_near(milliseconds{533}, times.expected(class_named("a"), declared),
                    milliseconds{70});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, times.slowness({"i-1", 1}), 0.15);
    }

    void run_far_from_its_data_counts_as_a_run_beside_it()
    {
        run_times times;
        for (int run = 0; run < 40; ++run) {
            times.learn(run_of("a", milliseconds{500}, "i-1"));
            times.learn({class_named("a"), {"i-2", 1}, declared, milliseconds{1'000}, 2.0});
        }
        assert_near(milliseconds{500}, times.expected(class_named("a"), declared),
                    milliseconds{10});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, times.slowness({"i-2", 1}), 0.05);
    }

    void speed_is_forgotten_with_the_incarnation()
    {
        run_times times;
        learn_times(times, "a", milliseconds{500}, 40);
        learn_times(times, "a", milliseconds{900}, 20, "i-2");
        CPPUNIT_ASSERT(times.slowness({"i-2", 1}) > 1.2);
        CPPUNIT_ASSERT_EQUAL(1.0, times.slowness({"i-2", 2}));
    }

    void times_are_forgotten_with_the_queue()
    {
        run_times times;
        learn_times(times, "a", milliseconds{500}, 40);
        times.forget_queue("host/queue/");
        CPPUNIT_ASSERT(declared == times.expected(class_named("a"), declared));
        CPPUNIT_ASSERT(declared == times.expected(class_named("b"), declared));
    }

    void memory_grew_with_each_new_image()
    {
        run_times times;
        for (int image = 0; image < 3'000; ++image) {
            learn_times(times, std::to_string(image), milliseconds{500}, 5,
                        "i-" + std::to_string(image));
        }
        CPPUNIT_ASSERT(times.classes() <= 512);
        CPPUNIT_ASSERT(times.workers() <= 2'048);
        assert_near(milliseconds{500}, times.expected(class_named("2999"), declared),
                    milliseconds{1});
    }

    void remaining_time_follows_the_progress()
    {
        const time_point began{milliseconds{1'000}};
        // At this speed the run takes seven times as long as expected.
        const auto run = run_with_progress(began, 20, milliseconds{1'400});
        const auto left = expected_remaining(run, milliseconds{1'000}, began + milliseconds{1'400});
        CPPUNIT_ASSERT(left > milliseconds{4'000});
        CPPUNIT_ASSERT(left < milliseconds{5'600});
        const auto done = run_with_progress(began, 90, milliseconds{900});
        assert_near(milliseconds{100},
                    expected_remaining(done, milliseconds{1'000}, began + milliseconds{900}),
                    milliseconds{10});
    }

    void run_without_progress_was_expected_to_end_at_once()
    {
        const time_point began{milliseconds{1'000}};
        const auto run = run_with_progress(began, 0, milliseconds{0});
        CPPUNIT_ASSERT(expected_remaining(run, milliseconds{500}, began + milliseconds{2'000}) >=
                       milliseconds{1'000});
        assert_near(milliseconds{400},
                    expected_remaining(run, milliseconds{500}, began + milliseconds{100}),
                    milliseconds{0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_times_test);

} // namespace peridotrudder
