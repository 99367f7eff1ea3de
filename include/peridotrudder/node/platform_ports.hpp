#pragma once

/// @file
/// Hooks to the platform that the adapter sets: orders to workers, placement policies, and the
/// topics and codecs of records.

#include "peridotrudder/machines/worker_orders.hpp"
#include "peridotrudder/planning/vm_control.hpp"
#include "peridotrudder/scheduling/pool_config.hpp"
#include "peridotrudder/scheduling/ticket_cache.hpp"

#include <gsl/span>
#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <vector>

namespace peridotrudder {

/// Sends orders to workers. Callbacks run later, on the caller's loop.
struct worker_port {
    template <typename Answer>
    using callback = std::function<void(Answer)>;

    std::function<void(const worker_report&, const start_order&, callback<order_answer>)> m_start;
    std::function<void(const worker_report&, const stop_order&, callback<order_answer>)> m_stop;
    std::function<void(const worker_report&, const pace_order&, callback<order_answer>)> m_pace;
    std::function<void(const worker_report&, const hold_order&, callback<hold_answer>)> m_hold;
};

/// Queries the placement policy service. Callbacks run later, on the caller's loop.
struct policy_port {
    std::function<void(const policy_request&, std::function<void(policy_answer)>)> m_ask;
};

/// Topics, keys and codecs of the records that are shared with the platform.
struct record_schema {
    using bytes = gsl::span<const std::uint8_t>;

    /// Topic and key of the operators' configuration, and the prefix of the keys of waves.
    std::string m_operator_topic;
    std::string m_config_key;
    std::string m_wave_prefix;
    /// Topic in which workers register themselves, by id.
    std::string m_worker_topic;
    /// Topic in which operators read the state of waves.
    std::string m_status_topic;
    std::function<tl::expected<fleet_config, decode_error>(bytes)> m_config;
    std::function<tl::expected<worker_report, decode_error>(const std::string& id, bytes)> m_worker;
    std::function<tl::expected<declared_wave, decode_error>(bytes)> m_wave;
    std::function<std::vector<std::uint8_t>(bool completed)> m_wave_state;
};

} // namespace peridotrudder
