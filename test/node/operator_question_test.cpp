#include "peridotrudder/node/operator_question.hpp"

#include "fleet_owner_fixture.hpp"
#include "peridotrudder/node/call_router.hpp"
#include "peridotrudder/ownership/node_messages.hpp"

namespace peridotrudder {

namespace {

const time_point start{milliseconds{1'000'000}};

placement_question make_question()
{
    placement_question question;
    question.m_queue = "host/queue/";
    question.m_cpu_millis = 2'000;
    return question;
}

job_call make_call()
{
    http_request request;
    request.m_body = encode_json(make_question()).dump();
    const auto call = read_question(request);
    CPPUNIT_ASSERT(call);
    return *call;
}

std::string error_in(const placement_report& report)
{
    return std::string{to_string(report.m_error)};
}

call_answer answer_of(call_status status)
{
    call_answer answer;
    answer.m_status = status;
    return answer;
}

struct question_fixture : owner_fixture {
    placement_report ask()
    {
        const auto token = m_next_token++;
        m_owner->take_call(token, make_call());
        CPPUNIT_ASSERT(m_answers.count(token) == 1);
        return read_report(make_question(), m_answers[token]);
    }
};

} // namespace

class operator_question_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(operator_question_test);
    CPPUNIT_TEST(owner_answers_without_a_key_and_writes_nothing);
    CPPUNIT_TEST(question_while_the_owner_loads_is_answered_once_it_serves);
    CPPUNIT_TEST(owner_without_proof_does_not_answer_from_memory);
    CPPUNIT_TEST(questions_leave_the_owner_time_for_its_work);
    CPPUNIT_TEST(node_without_an_owner_says_so);
    CPPUNIT_TEST(owner_that_does_not_answer_is_reported);
    CPPUNIT_TEST(owner_of_an_earlier_version_is_reported);
    CPPUNIT_TEST(answer_that_can_not_be_read_is_reported);
    CPPUNIT_TEST(question_and_report_survive_forwarding);
    CPPUNIT_TEST(call_of_an_earlier_version_has_no_question);
    CPPUNIT_TEST(question_without_a_queue_is_refused);
    CPPUNIT_TEST(each_error_has_a_status_that_is_no_success);
    CPPUNIT_TEST_SUITE_END();

public:
    void owner_answers_without_a_key_and_writes_nothing()
    {
        question_fixture fixture;
        fixture.m_keys[1] = {"a"};
        fixture.serve();
        const auto appends = fixture.m_appends;
        const auto events = fixture.m_events.size();
        const auto report = fixture.ask();
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, error_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, report.m_worker);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, report.m_required.m_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(appends, fixture.m_appends);
        CPPUNIT_ASSERT_EQUAL(events, fixture.m_events.size());
        CPPUNIT_ASSERT_EQUAL(0, fixture.m_starts);
    }

    void question_while_the_owner_loads_is_answered_once_it_serves()
    {
        question_fixture fixture;
        const auto token = fixture.m_next_token++;
        fixture.m_owner->take_call(token, make_call());
        CPPUNIT_ASSERT(fixture.m_answers.empty());
        fixture.serve();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_answers.count(token));
    }

    // Another owner may decide by then.
    void owner_without_proof_does_not_answer_from_memory()
    {
        question_fixture fixture;
        fixture.serve();
        fixture.m_log_up = false;
        fixture.pass(milliseconds{6'000});
        CPPUNIT_ASSERT_EQUAL(std::string{"no_owner"}, error_in(fixture.ask()));
    }

    // The port has no key, so whoever reaches it could otherwise stop all placement.
    void questions_leave_the_owner_time_for_its_work()
    {
        question_fixture fixture;
        fixture.serve();
        fixture.m_time_per_reading = milliseconds{10};
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, error_in(fixture.ask()));
        fixture.m_time_per_reading = milliseconds{0};
        CPPUNIT_ASSERT_EQUAL(std::string{"busy"}, error_in(fixture.ask()));
        fixture.pass(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, error_in(fixture.ask()));
    }

    void node_without_an_owner_says_so()
    {
        std::optional<http_response> response;
        auto router = call_router::create({}, [](std::uint64_t, const job_call&) { return false; });
        router.take(
            make_call(), milliseconds{5'000},
            [&](const call_answer& answer) {
                response = write_report(read_report(make_question(), answer));
            },
            start);
        router.tick(start + router_options{}.m_ownerless_timeout);
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{503}, response->m_status);
        const auto report = decode_text<placement_report>(response->m_body);
        CPPUNIT_ASSERT(report);
        CPPUNIT_ASSERT_EQUAL(std::string{"no_owner"}, error_in(*report));
        CPPUNIT_ASSERT_EQUAL(std::string{"no owner is known"}, report->m_detail);
    }

    void owner_that_does_not_answer_is_reported()
    {
        const auto report = read_report(make_question(), answer_of(call_status::unknown_outcome));
        CPPUNIT_ASSERT_EQUAL(std::string{"no_owner"}, error_in(report));
        CPPUNIT_ASSERT_EQUAL(std::string{"the owner did not answer"}, report.m_detail);
    }

    // It takes the question for a query and does not know the field.
    void owner_of_an_earlier_version_is_reported()
    {
        for (const auto status : {call_status::length, call_status::state,
                                  call_status::unauthorized, call_status::unknown_queue}) {
            CPPUNIT_ASSERT_EQUAL(std::string{"not_supported"},
                                 error_in(read_report(make_question(), answer_of(status))));
        }
    }

    void answer_that_can_not_be_read_is_reported()
    {
        auto answer = answer_of(call_status::done);
        answer.m_report = "{}";
        CPPUNIT_ASSERT_EQUAL(std::string{"not_supported"},
                             error_in(read_report(make_question(), answer)));
    }

    void question_and_report_survive_forwarding()
    {
        const auto call =
            decode_node_message(encode_node_message(forwarded_job_call{7, make_call(), true}));
        CPPUNIT_ASSERT(call);
        const auto& forwarded = std::get<forwarded_job_call>(*call).m_call;
        CPPUNIT_ASSERT(forwarded.m_question);
        CPPUNIT_ASSERT_EQUAL(encode_json(make_question()).dump(),
                             encode_json(*forwarded.m_question).dump());
        auto answer = answer_of(call_status::done);
        answer.m_report = to_json_text({});
        const auto reply =
            decode_node_message(encode_node_message(forwarded_job_answer{7, answer}));
        CPPUNIT_ASSERT(reply);
        CPPUNIT_ASSERT(std::get<forwarded_job_answer>(*reply).m_answer.m_report == answer.m_report);
    }

    void call_of_an_earlier_version_has_no_question()
    {
        auto call = encode_packed(make_call());
        call.erase(call.size() - 1);
        const auto decoded = decode_packed<job_call>(call);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(!decoded->m_question);
        auto answer = encode_packed(answer_of(call_status::state));
        answer.erase(answer.size() - 1);
        CPPUNIT_ASSERT(decode_packed<call_answer>(answer));
    }

    void question_without_a_queue_is_refused()
    {
        for (const auto* body : {"", "{}", "[]", R"({"queue":"host"})", R"({"queue":"/path"})",
                                 R"({"queue":"host/a","cpu_millis":"x"})"}) {
            http_request request;
            request.m_body = body;
            CPPUNIT_ASSERT_MESSAGE(body, !read_question(request));
        }
    }

    void each_error_has_a_status_that_is_no_success()
    {
        for (const auto name : enum_names<placement_error>::values) {
            const auto error = *from_string<placement_error>(name);
            const auto status = write_report(failed_report(make_question(), error)).m_status;
            CPPUNIT_ASSERT_EQUAL(error == placement_error::none, status == 200);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_question_test);

} // namespace peridotrudder
