#include "platform/policy_service.hpp"
#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace peridotrudder::platform {

class policy_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(policy_service_test);
    CPPUNIT_TEST(a_question_names_the_step_and_the_workers);
    CPPUNIT_TEST(an_incomplete_answer_is_discarded);
    CPPUNIT_TEST(damaged_answers_are_decoded_without_a_crash);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_answer = R"({"good":[["i-1","c81e-7a21d94b"]],"valid-ms":3000})";

public:
    void a_question_names_the_step_and_the_workers()
    {
        const step_key step{"5c0e7a21d94b36f8", 0, 1};
        const policy_request question{step, {{"i-1", 3}, {"i-2", 4}}, {}};
        const auto body = nlohmann::json::parse(encode_question(question));
        CPPUNIT_ASSERT_EQUAL(std::string{"5c0e7a21d94b36f8.0.1"}, body["step"].get<std::string>());
        CPPUNIT_ASSERT(nlohmann::json::parse(R"(["i-1","i-2"])") == body["workers"]);
    }

    void an_incomplete_answer_is_discarded()
    {
        const auto answer = decode_policy_answer(200, m_answer);
        CPPUNIT_ASSERT(answer.m_answered);
        CPPUNIT_ASSERT_EQUAL(std::string{"c81e-7a21d94b"}, answer.m_granted.at(0).m_ticket);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3'000},
                             static_cast<std::int64_t>(answer.m_valid.count()));
        CPPUNIT_ASSERT_MESSAGE("refused by the service",
                               !decode_policy_answer(429, m_answer).m_answered);
        CPPUNIT_ASSERT(!decode_policy_answer(200, R"({"valid-ms":3000})").m_answered);
        CPPUNIT_ASSERT(!decode_policy_answer(200, R"({"good":[["i-1"]],"valid-ms":3})").m_answered);
        CPPUNIT_ASSERT(!decode_policy_answer(200, R"({"good":[]})").m_answered);
    }

    void damaged_answers_are_decoded_without_a_crash()
    {
        assert_property("damaged answers", [this] {
            auto text = m_answer;
            const auto times = *rc::gen::inRange(1, 4);
            for (int time = 0; time < times; ++time) {
                text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            }
            static_cast<void>(decode_policy_answer(200, text));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_service_test);

} // namespace peridotrudder::platform
