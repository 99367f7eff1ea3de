#include "peridotrudder/jobs/task_table.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <rapidcheck.h>

namespace peridotrudder {

namespace {

std::vector<step_spec> steps_of(const std::vector<std::uint32_t>& counts)
{
    std::vector<step_spec> steps;
    for (const auto count : counts) {
        steps.emplace_back().m_count = count;
    }
    return steps;
}

constexpr std::array<task_phase, 4> all_phases{task_phase::waiting, task_phase::placed,
                                               task_phase::done, task_phase::failed};

} // namespace

class task_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(task_table_test);
    CPPUNIT_TEST(new_tasks_wait);
    CPPUNIT_TEST(change_of_a_task_changes_no_other);
    CPPUNIT_TEST(only_changed_tasks_are_visited);
    CPPUNIT_TEST(done_occurrence_keeps_only_that_it_is_done);
    CPPUNIT_TEST(table_is_like_one_with_all_tasks);
    CPPUNIT_TEST_SUITE_END();

public:
    void new_tasks_wait()
    {
        const auto table = task_table::create(steps_of({3, 100}), 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{206}, table.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{206}, table.count(task_phase::waiting));
        CPPUNIT_ASSERT_EQUAL(100U, table.open(1, 1));
        CPPUNIT_ASSERT(table.at({1, 1, 99}).m_phase == task_phase::waiting);
        CPPUNIT_ASSERT(table.has({1, 1, 99}));
        CPPUNIT_ASSERT(!table.has({1, 1, 100}) && !table.has({1, 2, 0}) && !table.has({2, 0, 0}));
    }

    void change_of_a_task_changes_no_other()
    {
        auto table = task_table::create(steps_of({100}), 3);
        table.edit({1, 0, 50}).m_run = 7;
        table.set_phase({1, 0, 50}, task_phase::placed);
        const auto tasks = table.list(1, 0);
        const auto with_run = std::count_if(tasks.begin(), tasks.end(),
                                            [](const task& each) { return each.m_run != 0; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::ptrdiff_t{with_run});
        CPPUNIT_ASSERT_EQUAL(7U, table.at({1, 0, 50}).m_run);
        CPPUNIT_ASSERT_EQUAL(1U, table.count(1, 0, task_phase::placed));
        CPPUNIT_ASSERT_EQUAL(0U, table.count(0, 0, task_phase::placed));
        CPPUNIT_ASSERT_EQUAL(0U, table.count(2, 0, task_phase::placed));
        CPPUNIT_ASSERT((table.placed() == std::vector<task_ref>{{1, 0, 50}}));
    }

    void only_changed_tasks_are_visited()
    {
        auto table = task_table::create(steps_of({20'000}), 1);
        table.edit({0, 0, 10'000}).m_run = 1;
        std::size_t visited = 0;
        bool found = false;
        table.visit_changed([&](const task_ref& ref, const task& each) {
            ++visited;
            found = found || (ref.m_index == 10'000 && each.m_run == 1);
        });
        CPPUNIT_ASSERT(found);
        CPPUNIT_ASSERT(visited < 100);
    }

    void done_occurrence_keeps_only_that_it_is_done()
    {
        auto table = task_table::create(steps_of({2}), 2);
        for (const std::uint32_t index : {0U, 1U}) {
            table.edit({0, 0, index}).m_run = 9;
            table.set_phase({0, 0, index}, task_phase::done);
        }
        CPPUNIT_ASSERT(table.is_done(0) && !table.is_done(1));
        CPPUNIT_ASSERT_EQUAL(0U, table.open(0, 0));
        CPPUNIT_ASSERT(table.at({0, 0, 1}).m_phase == task_phase::done);
        CPPUNIT_ASSERT(table.at({0, 0, 1}).m_run != 0);
        CPPUNIT_ASSERT(table.at({1, 0, 1}).m_phase == task_phase::waiting);
        std::size_t visited = 0;
        table.visit_changed([&](const task_ref& ref, const task& /*each*/) {
            CPPUNIT_ASSERT_EQUAL(0U, ref.m_occurrence);
            ++visited;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, visited);
    }

    // Against a model that has an object for each task.
    void table_is_like_one_with_all_tasks()
    {
        assert_property("a table is like one with all tasks", [] {
            const auto counts = *rc::gen::container<std::vector<std::uint32_t>>(
                2, rc::gen::inRange<std::uint32_t>(1, 80));
            constexpr std::uint32_t occurrences = 3;
            auto table = task_table::create(steps_of(counts), occurrences);
            std::map<task_ref, task_phase> model;
            for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
                for (std::uint32_t step = 0; step < counts.size(); ++step) {
                    for (std::uint32_t index = 0; index < counts[step]; ++index) {
                        model[{occurrence, step, index}] = task_phase::waiting;
                    }
                }
            }
            const auto changes = *rc::gen::inRange(0, 300);
            for (int change = 0; change < changes; ++change) {
                const auto entry =
                    std::next(model.begin(), *rc::gen::inRange<std::ptrdiff_t>(
                                                 0, static_cast<std::ptrdiff_t>(model.size())));
                if (table.is_done(entry->first.m_occurrence)) {
                    continue;
                }
                // Mostly done, so that occurrences end.
                entry->second =
                    *rc::gen::element(task_phase::waiting, task_phase::placed, task_phase::done,
                                      task_phase::done, task_phase::done, task_phase::failed);
                table.set_phase(entry->first, entry->second);
            }
            for (const auto phase : all_phases) {
                const auto in_phase = [phase](const auto& entry) { return entry.second == phase; };
                RC_ASSERT(table.count(phase) == static_cast<std::uint64_t>(std::count_if(
                                                    model.begin(), model.end(), in_phase)));
            }
            std::uint64_t placed = 0;
            for (const auto& [ref, phase] : model) {
                RC_ASSERT(table.at(ref).m_phase == phase);
                placed += phase == task_phase::placed ? 1 : 0;
            }
            RC_ASSERT(table.placed().size() == placed);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(task_table_test);

} // namespace peridotrudder
