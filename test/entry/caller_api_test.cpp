#include "peridotrudder/entry/caller_api.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace peridotrudder {

class caller_api_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_api_test);
    CPPUNIT_TEST(workers_answer_is_passed_on_as_it_is);
    CPPUNIT_TEST(refusal_says_that_it_was_not_run_and_why);
    CPPUNIT_TEST(unknown_outcome_has_its_own_status_and_header);
    CPPUNIT_TEST(completed_request_without_its_answer_gets_an_error_status);
    CPPUNIT_TEST(priority_selects_the_class_up_to_that_of_the_contract);
    CPPUNIT_TEST(priority_that_is_no_ascii_text_is_not_urgent_on_any_machine);
    CPPUNIT_TEST_SUITE_END();

public:
    void workers_answer_is_passed_on_as_it_is()
    {
        outcome done;
        done.m_execution_status = execution_status::done;
        done.m_status = 418;
        done.m_content_type = "text/plain";
        done.m_body = "short and stout";
        const auto response = to_response("id", done);
        CPPUNIT_ASSERT_EQUAL(418U, response.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"short and stout"}, response.m_body);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, outcome_header(response));
    }

    void refusal_says_that_it_was_not_run_and_why()
    {
        const auto response = to_response("id", not_run(refusal::over_limit));
        CPPUNIT_ASSERT_EQUAL(429U, response.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"not_run"}, outcome_header(response));
        CPPUNIT_ASSERT(!find_header(response.m_headers, "Retry-After").empty());
        CPPUNIT_ASSERT(response.m_body.find("over_limit") != std::string::npos);
    }

    void unknown_outcome_has_its_own_status_and_header()
    {
        const auto response = to_response("id", outcome_unknown(refusal::earlier_attempt));
        CPPUNIT_ASSERT_EQUAL(504U, response.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"outcome_unknown"}, outcome_header(response));
    }

    void completed_request_without_its_answer_gets_an_error_status()
    {
        outcome done;
        done.m_execution_status = execution_status::done;
        done.m_status = 200;
        done.m_refusal = refusal::answer_not_kept;
        const auto response = to_response("id", done);
        CPPUNIT_ASSERT_EQUAL(410U, response.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, outcome_header(response));
    }

    void priority_selects_the_class_up_to_that_of_the_contract()
    {
        CPPUNIT_ASSERT(class_of("u=1", work_class::urgent) == work_class::urgent);
        CPPUNIT_ASSERT(class_of("u=4", work_class::urgent) == work_class::normal);
        CPPUNIT_ASSERT(class_of("u=7", work_class::urgent) == work_class::archive);
        CPPUNIT_ASSERT(class_of("u=0", work_class::normal) == work_class::normal);
        CPPUNIT_ASSERT(class_of("", work_class::normal) == work_class::normal);
    }

    // Guards against a byte that counts as negative, so as most urgent, where `char` is signed.
    void priority_that_is_no_ascii_text_is_not_urgent_on_any_machine()
    {
        CPPUNIT_ASSERT(class_of("u=\xc3", work_class::urgent) == work_class::archive);
    }

private:
    static std::string outcome_header(const http_response& response)
    {
        return std::string{find_header(response.m_headers, "X-Outcome")};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_api_test);

} // namespace peridotrudder
