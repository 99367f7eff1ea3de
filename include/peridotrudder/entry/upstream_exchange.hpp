#pragma once

/// @file
/// Conversion of calls to upstream HTTP requests, and of the answers to outcomes.

#include "peridotrudder/entry/pool_queue.hpp"
#include "peridotrudder/links/http_client.hpp"

namespace peridotrudder {

/// Returns the HTTP call that sends `sent` to its worker. A request that must not run twice gets a
/// new connection, since libcurl by itself repeats requests on reused connections.
http_call make_upstream_call(const dispatched_call& sent, const trace_context& hop,
                             milliseconds timeout);

/// Returns the outcome that a worker's answer, or its absence, proves: `done` with the complete
/// answer, `not_run` only with proof that the worker did not start the request, otherwise
/// `outcome_unknown`.
outcome read_upstream_answer(const http_result& result);

/// Returns whether the outcome counts as a failure of the worker: no answer, or a server error.
bool is_worker_failure(const outcome& result);

} // namespace peridotrudder
