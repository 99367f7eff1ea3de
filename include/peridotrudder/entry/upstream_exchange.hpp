#pragma once

/// @file
/// How a call is put to a worker, and what the worker's answer proves.

#include "peridotrudder/entry/pool_queue.hpp"
#include "peridotrudder/links/http_client.hpp"

namespace peridotrudder {

/// Returns the HTTP call that puts `sent` to its worker. A request that must not run twice gets
/// a connection of its own, since libcurl repeats requests on reused ones by itself.
http_call make_upstream_call(const dispatched_call& sent, const trace_context& hop,
                             milliseconds timeout);

/// Returns what a worker's answer, or its absence, says of the request: `done` with the whole
/// answer, `not_run` only with proof that the worker did not start it, else `outcome_unknown`.
outcome read_upstream_answer(const http_result& result);

/// Returns whether the outcome speaks against the worker: no answer, or a server error.
bool is_worker_failure(const outcome& result);

} // namespace peridotrudder
