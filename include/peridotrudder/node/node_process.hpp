#pragma once

/// @file
/// A scheduler process: serves callers, and schedules the fleet while it is the owner.

#include "peridotrudder/node/node_settings.hpp"
#include "peridotrudder/node/platform_ports.hpp"
#include "peridotrudder/ownership/log_port.hpp"
#include "peridotrudder/scheduling/job_call.hpp"

#include "peridotrudder/links/http_client.hpp"
#include "peridotrudder/links/http_server.hpp"

#include <functional>
#include <memory>

namespace peridotrudder {

/// Hooks to the platform, set by the adapter.
struct node_platform {
    std::function<log_port(http_client& client, const node_settings& settings)> m_log;
    std::function<worker_port(http_client& client)> m_workers;
    std::function<vm_port(http_client& client, const node_settings& settings)> m_vms;
    std::function<policy_port(http_client& client, const node_settings& settings)> m_policy;
    record_schema m_record_schema;
    /// Parses a caller's request; returns the call, or the response that refuses it.
    std::function<tl::expected<job_call, http_response>(const http_request& request)> m_read_call;
    std::function<milliseconds(const http_request& request)> m_time_left;
    std::function<http_response(const call_answer& answer)> m_write_answer;
};

enum class shutdown_result {
    /// Stopped on request, with no calls in flight.
    stopped,
    /// The grace period ended with calls in flight.
    incomplete,
};

/// Runs a node on the calling thread. Owns its loop, servers and clients.
class node_process {
public:
    static tl::expected<std::unique_ptr<node_process>, listen_error>
    create(const node_settings& settings, node_platform platform);

    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;
    node_process(node_process&&) = delete;
    node_process& operator=(node_process&&) = delete;
    ~node_process();

    /// Serves until SIGTERM or SIGINT.
    shutdown_result run();

private:
    class implementation;
    explicit node_process(std::unique_ptr<implementation> process);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace peridotrudder
