#include "peridotrudder/node/operator_question.hpp"

namespace peridotrudder {

namespace {

std::uint32_t status_of(placement_error error)
{
    switch (error) {
    case placement_error::none:
        return 200;
    case placement_error::bad_question:
        return 400;
    case placement_error::unknown_queue:
    case placement_error::unknown_tenant:
    case placement_error::unknown_job:
        return 404;
    case placement_error::job_ended:
        return 410;
    case placement_error::not_supported:
        return 501;
    case placement_error::no_configuration:
    case placement_error::too_much_waiting:
    case placement_error::busy:
    case placement_error::no_owner:
        break;
    }
    return 503;
}

} // namespace

std::optional<job_call> read_question(const http_request& request)
{
    auto question = decode_text<placement_question>(request.m_body);
    const auto parts = question ? split_queue(question->m_queue) : std::nullopt;
    if (!parts) {
        return std::nullopt;
    }
    job_call call;
    call.m_kind = call_kind::query;
    call.m_host = parts->first;
    call.m_path = parts->second;
    call.m_question = std::move(*question);
    return call;
}

placement_report read_report(const placement_question& question, const call_answer& answer)
{
    if (answer.m_report) {
        auto report = decode_text<placement_report>(*answer.m_report);
        return report ? std::move(*report)
                      : failed_report(question, placement_error::not_supported,
                                      "its answer can't be read");
    }
    if (answer.m_status == call_status::unavailable) {
        return failed_report(question, placement_error::no_owner, "no owner is known");
    }
    if (answer.m_status == call_status::unknown_outcome) {
        return failed_report(question, placement_error::no_owner, "the owner did not answer");
    }
    return failed_report(question, placement_error::not_supported);
}

http_response write_report(const placement_report& report)
{
    return json_response(status_of(report.m_error), to_json_text(report));
}

} // namespace peridotrudder
