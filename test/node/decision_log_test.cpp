#include "peridotrudder/node/decision_log.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class decision_log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(decision_log_test);
    CPPUNIT_TEST(every_unauthorized_call_is_counted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Their lines are limited to one a second, their counts must not be.
    void every_unauthorized_call_is_counted()
    {
        constexpr int calls = 200;
        const time_point now{milliseconds{1'000'000}};
        decision_log log;
        decision_log::answered_call call;
        call.m_path = "/queue/";
        call_answer answer;
        answer.m_status = call_status::unauthorized;
        for (int number = 0; number < calls; ++number) {
            log.decided({"call_unauthorized", call.m_path, "", "no key"}, 1, now);
            log.answered(call, answer, now);
        }
        const auto text = log.metrics().expose();
        for (const auto* line :
             {R"(peridot_decisions_total{event="call_unauthorized"} 200)",
              R"(peridot_job_calls_total{kind="query",status="unauthorized"} 200)"}) {
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decision_log_test);

} // namespace peridotrudder
