#pragma once

/// @file
/// Operators' questions over HTTP, and their answers.

#include "peridotrudder/links/http.hpp"
#include "peridotrudder/scheduling/job_call.hpp"

#include <string_view>

namespace peridotrudder {

inline constexpr std::string_view placement_path = "/v1/where";

/// Returns the call that asks the owner; nothing if the body is no valid question.
std::optional<job_call> read_question(const http_request& request);

/// Returns the report in the owner's answer, or why there is none.
placement_report read_report(const placement_question& question, const call_answer& answer);

http_response write_report(const placement_report& report);

} // namespace peridotrudder
