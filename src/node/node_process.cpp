#include "peridotrudder/node/node_process.hpp"

#include "peridotrudder/base/hash.hpp"
#include "peridotrudder/links/peer_mesh.hpp"
#include "peridotrudder/node/call_router.hpp"
#include "peridotrudder/node/call_transport.hpp"
#include "peridotrudder/node/decision_log.hpp"
#include "peridotrudder/node/fleet_owner.hpp"
#include "peridotrudder/node/operator_question.hpp"
#include "peridotrudder/node/order_relay.hpp"
#include "peridotrudder/ownership/cluster_agent.hpp"
#include "peridotrudder/scheduling/tenant_summary.hpp"
#include "peridotrudder/telemetry/log.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <ctime>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

constexpr std::size_t incarnation_bytes = 6;
constexpr milliseconds owner_tick{10};
constexpr milliseconds entry_tick{25};
constexpr milliseconds relay_choice_interval{100};
/// Connections to one worker: one for the hold, the others for orders.
constexpr long worker_connections = 4;
/// Load balancers need this long to notice that a node is no longer ready.
constexpr milliseconds drain_time{2'300};
/// Part of the grace period that is reserved for the exit of the process.
constexpr milliseconds stop_reserve{700};
constexpr std::size_t tenants_counted_by_name = 10;
/// Accepted jobs may take this part of the process's memory, beside a fifth for callers.
constexpr std::size_t memory_parts_of_jobs = 3;
/// Longer than a change of owner usually takes.
constexpr milliseconds question_timeout{5'000};
constexpr std::uint32_t status_ok = 200;
/// The others are summed up, which bounds the number of metrics.
constexpr std::size_t tenants_in_metrics = 10;
constexpr std::uint32_t status_unavailable = 503;

/// Reads the clocks. The monotonic one also counts while the VM is suspended, as leases do.
moment read_clocks()
{
    timespec boot{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    timespec wall{};
    clock_gettime(CLOCK_REALTIME, &wall);
    const auto since_boot =
        std::chrono::seconds{boot.tv_sec} + std::chrono::nanoseconds{boot.tv_nsec};
    const auto unix_time =
        std::chrono::seconds{wall.tv_sec} + std::chrono::nanoseconds{wall.tv_nsec};
    return {time_point{std::chrono::duration_cast<time_point::duration>(since_boot)},
            std::chrono::duration_cast<milliseconds>(unix_time).count()};
}

void log_detail(std::string_view event, std::string detail)
{
    log_event(log_level::info, event, {{"detail", std::move(detail)}});
}

void log_refusal(caller_refusal cause, std::uint64_t count)
{
    log_event(log_level::warning, "callers_refused",
              {{"cause", std::string{to_string(cause)}}, {"count", std::to_string(count)}});
}

} // namespace

class node_process::implementation {
public:
    implementation(const node_settings& settings, node_platform platform)
        : m_settings{settings},
          m_platform{std::move(platform)},
          m_caller_budget{std::make_shared<caller_budget>(
              make_caller_limits(settings.m_memory_bytes, settings.m_max_body_bytes,
                                 settings.m_max_descriptors),
              log_refusal)},
          m_timer{m_loop},
          m_signals{m_loop, SIGTERM, SIGINT, SIGHUP},
          m_log_client{http_client::create_on(m_loop)},
          m_worker_client{http_client::create_on(m_loop, worker_connections)},
          m_vm_client{http_client::create_on(m_loop)},
          m_log{m_platform.m_log(*m_log_client, settings)},
          m_self{fmt::format("{}-{}", settings.m_name, random_hex(incarnation_bytes))},
          m_router{call_router::create({},
                                       [this](std::uint64_t number, const job_call& call) {
                                           return send_call(number, call);
                                       })},
          m_transport{call_transport::create(m_self, make_transport_ports())}
    {
        m_loop_port.m_now = read_clocks;
        m_loop_port.m_after = [this](milliseconds delay, std::function<void()> action) {
            after(delay, std::move(action));
        };
        m_agent = cluster_agent::create(make_agent_options(), make_agent_ports());
        m_order_forwarder = order_forwarder::create({}, make_relay_ports());
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;
    ~implementation() = default;

    tl::expected<void, listen_error> listen()
    {
        auto mesh = open_mesh();
        if (!mesh) {
            return tl::make_unexpected(mesh.error());
        }
        m_mesh = std::move(*mesh);
        auto ready = http_server::create_on(
            m_loop, listen_at(m_settings.m_ready, other_connections()),
            [this](const http_request& /*request*/, const http_responder& respond) {
                respond(json_response(is_ready() ? status_ok : status_unavailable, "{}"));
            });
        if (!ready) {
            return tl::make_unexpected(ready.error());
        }
        m_ready_server = std::move(*ready);
        auto callers = http_server::create_on(
            m_loop, listen_at(m_settings.m_callers, m_settings.m_max_connections),
            [this](const http_request& request, http_responder respond) {
                take_request(request, std::move(respond));
            });
        if (!callers) {
            return tl::make_unexpected(callers.error());
        }
        m_caller_server = std::move(*callers);
        auto metrics = http_server::create_on(
            m_loop, listen_at(m_settings.m_metrics, other_connections()),
            [this](const http_request& request, const http_responder& respond) {
                if (request.m_path == placement_path) {
                    take_question(request, respond);
                    return;
                }
                http_response response;
                response.m_headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
                set_gauges();
                response.m_body = m_decisions.metrics().expose();
                respond(std::move(response));
            });
        if (!metrics) {
            return tl::make_unexpected(metrics.error());
        }
        m_metrics_server = std::move(*metrics);
        return {};
    }

    shutdown_result run()
    {
        log_event(log_level::info, "started",
                  {{"node", m_settings.m_name}, {"incarnation", m_self}});
        wait_for_signals();
        m_agent->start();
        tick();
        m_loop.run();
        log_event(log_level::info, "stopped",
                  {{"calls_in_flight", std::to_string(m_router.waiting())}});
        return m_router.waiting() == 0 ? shutdown_result::stopped : shutdown_result::incomplete;
    }

private:
    http_server_options listen_at(const endpoint& local, std::size_t max_connections) const
    {
        http_server_options options;
        options.m_address = local.m_address;
        options.m_port = local.m_port;
        options.m_max_body_bytes = m_settings.m_max_body_bytes;
        options.m_max_header_bytes = m_settings.m_max_header_bytes;
        options.m_max_connections = max_connections;
        options.m_budget = m_caller_budget;
        return options;
    }

    /// Returns how many connections the ports for the readiness check and for metrics may have.
    std::size_t other_connections() const
    {
        constexpr std::size_t share = 8;
        return std::max<std::size_t>(m_settings.m_max_connections / share, 2);
    }

    void after(milliseconds delay, std::function<void()> action)
    {
        if (delay.count() == 0) {
            asio::post(m_loop, std::move(action));
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
        timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
            if (!error) {
                action();
            }
        });
    }

    tl::expected<std::unique_ptr<peer_mesh>, listen_error> open_mesh()
    {
        peer_mesh_options options;
        options.m_address = m_settings.m_peers.m_address;
        options.m_port = m_settings.m_peers.m_port;
        options.m_self = m_self;
        options.m_cluster_token = m_settings.m_cluster_token;
        options.m_max_message_bytes = max_node_frame_bytes(m_settings.m_max_body_bytes);
        options.m_max_handshakes =
            make_handshake_limit(m_settings.m_max_handshakes, m_settings.m_max_descriptors);
        options.m_log_event = log_detail;
        return peer_mesh::create_on(
            m_loop, options,
            [this](const std::string& from, gsl::span<const std::uint8_t> frame) {
                return receive(from, frame);
            },
            [this](const std::string& peer, link_change change) { handle_link(peer, change); });
    }

    void handle_link(const std::string& peer, link_change change)
    {
        if (change == link_change::timed_out) {
            log_event(log_level::warning, "link_timed_out", {{"peer", peer}});
        }
        if (change == link_change::opened) {
            m_agent->link_opened(peer);
        }
        const bool ended = change == link_change::closed || change == link_change::timed_out ||
                           change == link_change::dropped;
        if (ended) {
            m_agent->link_closed(peer, change == link_change::closed);
            if (m_distributor) {
                m_distributor->link_lost(peer);
            }
        }
        // On a link that was replaced, a call may have been lost in one direction and its answer
        // in the other.
        const bool replaced = change == link_change::opened || change == link_change::accepted;
        if (replaced && peer == m_agent->route().m_peer) {
            change_route();
        }
    }

    bool send_call(std::uint64_t number, const job_call& call)
    {
        const auto route = m_agent->route();
        return route.m_direct || !route.exists()
                   ? m_transport.send(number, call, route.m_peer)
                   : m_transport.send_through(number, call, route.m_peer);
    }

    void change_route()
    {
        m_transport.end_passed_calls();
        m_router.owner_changed(now());
    }

    static time_point now() { return read_clocks().m_at; }

    agent_options make_agent_options() const
    {
        agent_options options;
        options.m_self = {m_settings.m_name,
                          m_self,
                          m_settings.m_advertised_peers.m_address,
                          m_settings.m_advertised_peers.m_port,
                          read_clocks().m_unix_ms,
                          m_settings.m_cpu_millis};
        options.m_election.m_self = m_self;
        return options;
    }

    agent_ports make_agent_ports()
    {
        agent_ports ports;
        ports.m_loop = m_loop_port;
        ports.m_log = m_log;
        ports.m_send = make_sender();
        ports.m_set_peers = [this](const std::vector<node_record>& peers) {
            std::vector<peer_endpoint> endpoints;
            endpoints.reserve(peers.size());
            for (const auto& peer : peers) {
                endpoints.push_back({peer.m_incarnation, peer.m_address, peer.m_port});
            }
            m_mesh->set_peers(endpoints);
        };
        ports.m_became_owner = [this](const ownership_claim& claim) { begin_ownership(claim); };
        ports.m_lost = [this] { end_ownership(); };
        ports.m_owner_reachable = [this] { change_route(); };
        ports.m_owner_unreachable = [this] {
            m_transport.end_passed_calls();
            m_router.owner_lost(now());
        };
        ports.m_log_event = log_detail;
        return ports;
    }

    relay_ports make_relay_ports()
    {
        relay_ports ports;
        ports.m_loop = m_loop_port;
        ports.m_direct = m_platform.m_workers(*m_worker_client);
        ports.m_send = make_sender();
        ports.m_log_event = log_detail;
        return ports;
    }

    transport_ports make_transport_ports()
    {
        transport_ports ports;
        ports.m_send = make_sender();
        ports.m_take = [this](std::uint64_t token, const job_call& call) {
            if (!m_owner) {
                return false;
            }
            m_owner->take_call(token, call);
            return true;
        };
        ports.m_deliver_answer = [this](std::uint64_t number, const call_answer& answer) {
            // Deferred, because the router may be in the middle of sending this call.
            after(milliseconds{0},
                  [this, number, answer] { m_router.answered(number, answer, now()); });
        };
        ports.m_direct_owner = [this] {
            return m_agent->owns() ? std::string{} : m_agent->reachable_owner();
        };
        ports.m_now = now;
        return ports;
    }

    std::function<bool(const std::string&, const node_message&)> make_sender()
    {
        return [this](const std::string& peer, const node_message& message) {
            return m_mesh->send(peer, encode_node_message(message));
        };
    }

    void begin_ownership(const ownership_claim& claim)
    {
        m_distributor = order_distributor::create({}, claim.m_epoch, make_relay_ports());
        owner_options options;
        options.m_epoch = claim.m_epoch;
        options.m_predecessor_released = claim.m_after_release;
        options.m_tick_interval = owner_tick;
        m_won_at = now();
        options.m_scheduler.m_retention = m_settings.m_retention;
        options.m_scheduler.m_max_job_bytes = m_settings.m_memory_bytes / memory_parts_of_jobs;
        options.m_scheduler.m_far_factor = m_settings.m_far_factor;
        options.m_scheduler.m_copies_percent = m_settings.m_copies_percent;
        options.m_scheduler.m_graded_health = m_settings.m_graded_health;
        options.m_scheduler.m_lease.m_max_lease = m_settings.m_longest_lease;
        options.m_planner.m_fleet.m_vm_lease = m_settings.m_vm_lease;
        options.m_planner.m_move_time = m_settings.m_move_time;
        options.m_planner.m_maintenance_time = m_settings.m_maintenance_time;
        owner_ports ports;
        ports.m_loop = m_loop_port;
        ports.m_log = m_log;
        ports.m_workers = m_distributor->port();
        ports.m_vms = m_platform.m_vms(*m_vm_client, m_settings);
        ports.m_policy = m_platform.m_policy(*m_vm_client, m_settings);
        ports.m_record_schema = m_platform.m_record_schema;
        ports.m_answer = [this](std::uint64_t token, const call_answer& answer) {
            m_transport.answer(token, answer);
        };
        ports.m_decided = [this](const decision& made) { log_decision(made); };
        ports.m_measured = [this](std::string_view exchange, milliseconds time) {
            m_decisions.metrics().measured(exchange, time);
        };
        ports.m_is_supported = [this] { return m_agent->is_supported(); };
        ports.m_ended = [this] { m_agent->resign(false); };
        m_owner = fleet_owner::create(options, std::move(ports));
        m_owner->start();
        m_router.owner_changed(now());
    }

    void log_decision(const decision& made)
    {
        if (made.m_event == "owner_loaded") {
            m_decisions.metrics().took_over(remaining(m_won_at, now()));
        }
        m_decisions.decided(made, m_agent->epoch(), now());
    }

    void set_gauges()
    {
        auto& metrics = m_decisions.metrics();
        metrics.set_gauge("owned_epoch",
                          m_agent->owns() ? static_cast<double>(m_agent->epoch()) : 0.0);
        metrics.set_gauge("registered_nodes", static_cast<double>(m_agent->registered_nodes()));
        const auto route = m_agent->route();
        metrics.set_gauge("owner_reachable", route.exists() ? 1.0 : 0.0);
        metrics.set_gauge("owner_through_peer", route.exists() && !route.m_direct ? 1.0 : 0.0);
        const auto contact = m_agent->contact();
        metrics.set_gauge("owner_linked", contact.m_linked ? 1.0 : 0.0);
        metrics.set_gauge("owner_heartbeat_age_ms",
                          static_cast<double>(contact.m_heartbeat_age.count()));
        metrics.set_gauge("linked_peers", static_cast<double>(contact.m_linked_peers));
        metrics.set_gauge("waiting_calls", static_cast<double>(m_router.waiting()));
        metrics.set_gauge("lost_log_lines", static_cast<double>(lost_log_lines()));
        set_caller_gauges(metrics);
        set_mesh_gauges(metrics);
        metrics.set_gauge(
            "relays", m_distributor ? static_cast<double>(m_distributor->relays().size()) : 0.0);
        const bool loads = m_owner && m_owner->phase() == owner_phase::loading;
        metrics.set_gauge("owner_loading", loads ? 1.0 : 0.0);
        metrics.set_gauge("restored_jobs",
                          m_owner ? static_cast<double>(m_owner->restored_jobs()) : 0.0);
        metrics.set_gauge("adopted_jobs",
                          m_owner ? static_cast<double>(m_owner->adopted_jobs()) : 0.0);
        const auto* scheduler = m_owner ? m_owner->scheduler() : nullptr;
        if (scheduler != nullptr) {
            const auto& state = scheduler->state();
            metrics.set_gauge("jobs", static_cast<double>(state.m_job_store.jobs().size()));
            metrics.set_gauge("job_bytes", static_cast<double>(state.m_job_store.waiting_bytes()));
            metrics.set_gauge("max_job_bytes",
                              static_cast<double>(state.m_options.m_max_job_bytes));
            metrics.set_gauge("hungry_jobs", static_cast<double>(state.m_schedulable_jobs.size()));
            metrics.set_gauge("workers", static_cast<double>(state.m_workers.size()));
            metrics.set_gauge("orders_waiting", static_cast<double>(state.m_orders.waiting()));
            metrics.set_gauge("orders_under_way", static_cast<double>(state.m_orders.under_way()));
            metrics.set_gauge("config_version", static_cast<double>(state.m_config.version()));
            metrics.name_tenants(state.m_config.tenants().largest(tenants_counted_by_name));
            metrics.set_gauge("journal_failing_ms",
                              static_cast<double>(m_owner->failing_for().count()));
            metrics.set_gauge("proof_age_ms", static_cast<double>(m_owner->proof_age().count()));
            metrics.set_gauge("config_age_ms", static_cast<double>(m_owner->config_age().count()));
        }
        metrics.set_tenant_gauges(scheduler == nullptr ? std::vector<tenant_gauge>{}
                                                       : tenant_gauges(scheduler->state()));
        metrics.set_grade_gauges(scheduler == nullptr ? std::vector<grade_gauge>{}
                                                      : grade_gauges(scheduler->state()));
    }

    static std::vector<grade_gauge> grade_gauges(const scheduler_state& state)
    {
        constexpr std::array lowered{worker_grade::reduced, worker_grade::out,
                                     worker_grade::probation};
        std::vector<grade_gauge> gauges;
        for (const auto& [pool, grades] : state.m_grades) {
            auto at_full = static_cast<double>(state.pool_size(pool));
            for (const auto grade : lowered) {
                const auto workers = static_cast<double>(grades.count(grade));
                at_full = std::max(at_full - workers, 0.0);
                gauges.push_back({pool, std::string{to_string(grade)}, workers});
            }
            gauges.push_back({pool, std::string{to_string(worker_grade::full)}, at_full});
        }
        return gauges;
    }

    static std::vector<tenant_gauge> tenant_gauges(const scheduler_state& state)
    {
        std::vector<tenant_gauge> gauges;
        for (const auto& summary : summarize_tenants(state, tenants_in_metrics)) {
            const auto add = [&](const char* name, auto value) {
                gauges.push_back({summary.m_tenant, name, static_cast<double>(value)});
            };
            add("used_cpu_millis", summary.m_used.m_cpu_millis);
            add("used_memory_mb", summary.m_used.m_memory_mb);
            add("used_accelerators", summary.m_used.m_accelerators);
            add("quota_cpu_millis", summary.m_quota.m_cpu_millis);
            add("quota_memory_mb", summary.m_quota.m_memory_mb);
            add("quota_accelerators", summary.m_quota.m_accelerators);
            add("waiting_jobs", summary.m_waiting_jobs);
        }
        return gauges;
    }

    void set_caller_gauges(node_metrics& metrics) const
    {
        const auto set = [&](const std::string& name, std::uint64_t value) {
            metrics.set_gauge(name, static_cast<double>(value));
        };
        set("caller_connections", m_caller_budget->connections());
        set("caller_bytes", m_caller_budget->used_bytes());
        set("waiting_bodies", m_caller_budget->waiting());
        for (const auto name : enum_names<caller_refusal>::values) {
            const auto cause = *from_string<caller_refusal>(name);
            set(fmt::format("refused_{}", name), m_caller_budget->refusals(cause));
        }
    }

    void set_mesh_gauges(node_metrics& metrics) const
    {
        const auto set = [&](const std::string& name, std::uint64_t value) {
            metrics.set_gauge(name, static_cast<double>(value));
        };
        set("peer_handshakes", m_mesh->pending_handshakes());
        set("peer_oversized_messages", m_mesh->traffic().m_oversized_messages);
        for (const auto name : enum_names<handshake_refusal>::values) {
            const auto cause = *from_string<handshake_refusal>(name);
            set(fmt::format("handshakes_{}", name), m_mesh->refusals(cause));
        }
    }

    void end_ownership()
    {
        m_agent->set_failing(milliseconds{0});
        // Destroyed later by the loop, because the owner may be on the call stack.
        std::shared_ptr<fleet_owner> owner{std::move(m_owner)};
        std::shared_ptr<order_distributor> distributor{std::move(m_distributor)};
        after(milliseconds{0}, [owner, distributor] {});
        m_transport.end_open_calls();
    }

    bool receive(const std::string& from, gsl::span<const std::uint8_t> frame)
    {
        const auto message = decode_node_message(frame);
        if (!message) {
            return false;
        }
        if (const auto* call = std::get_if<forwarded_job_call>(&*message)) {
            m_transport.take(from, *call);
            return true;
        }
        if (const auto* answer = std::get_if<forwarded_job_answer>(&*message)) {
            take_answer(from, *answer);
            return true;
        }
        if (const auto* orders = std::get_if<relayed_orders>(&*message)) {
            m_order_forwarder->handle_orders(from, *orders);
            return true;
        }
        if (const auto* answers = std::get_if<relayed_answers>(&*message)) {
            if (m_distributor) {
                m_distributor->handle_answers(from, *answers);
            }
            return true;
        }
        return m_agent->receive(from, *message);
    }

    void take_answer(const std::string& from, const forwarded_job_answer& message)
    {
        const bool not_passed_on = message.m_answer.m_status == call_status::not_owner;
        m_transport.take(message);
        if (not_passed_on) {
            // Later than the answer, so that the call is sent again once.
            after(milliseconds{0}, [this, from] { m_agent->not_passed_on(from); });
        }
    }

    void take_request(const http_request& request, http_responder respond)
    {
        auto call = m_platform.m_read_call(request);
        if (!call) {
            respond(std::move(call.error()));
            return;
        }
        decision_log::answered_call answered{call->m_kind, call->m_path, now(), 0, "", "", {}};
        m_router.take(
            std::move(*call), m_platform.m_time_left(request),
            [this, answered, respond = std::move(respond)](const call_answer& answer) mutable {
                answered.m_epoch = m_agent->epoch();
                answered.m_owner = m_agent->reachable_owner();
                answered.m_through = answered.m_owner.empty() ? m_agent->route().m_peer : "";
                answered.m_contact = m_agent->contact();
                m_decisions.answered(answered, answer, now());
                auto response = m_platform.m_write_answer(answer);
                response.m_close_connection = m_stopping_since.has_value();
                respond(std::move(response));
            },
            now());
    }

    void take_question(const http_request& request, const http_responder& respond)
    {
        auto call = read_question(request);
        if (!call) {
            respond(write_report(failed_report({}, placement_error::bad_question)));
            return;
        }
        const auto question = *call->m_question;
        m_router.take(
            std::move(*call), question_timeout,
            [question, respond](const call_answer& answer) {
                respond(write_report(read_report(question, answer)));
            },
            now());
    }

    bool is_ready() const
    {
        return !m_stopping_since && m_agent->route().exists() &&
               (!m_owner || m_owner->may_answer());
    }

    void tick()
    {
        if (m_owner) {
            choose_relays();
            m_owner->tick();
        }
        if (m_owner) {
            m_agent->set_failing(m_owner->failing_for());
            m_agent->set_proof_age(m_owner->proof_age());
        }
        m_agent->tick();
        m_router.tick(now());
        if (m_stopping_since && may_exit()) {
            m_loop.stop();
            return;
        }
        m_timer.expires_after(m_owner ? owner_tick : entry_tick);
        m_timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                tick();
            }
        });
    }

    void choose_relays()
    {
        if (remaining(m_relays_chosen_at, now()) >= relay_choice_interval) {
            m_relays_chosen_at = now();
            const auto* scheduler = m_owner->scheduler();
            m_distributor->select_relays(
                m_agent->linked_nodes(), m_settings.m_cpu_millis,
                scheduler == nullptr ? 0 : scheduler->state().m_workers.size());
        }
        m_distributor->tick();
    }

    bool may_exit() const
    {
        const auto stopping_for = remaining(*m_stopping_since, now());
        return (stopping_for >= drain_time && m_router.waiting() == 0) ||
               stopping_for >= m_settings.m_grace - stop_reserve;
    }

    void wait_for_signals()
    {
        m_signals.async_wait([this](const asio::error_code& error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                log_event(log_level::info, "reload_requested", {});
            }
            else if (!m_stopping_since) {
                log_event(log_level::info, "stopping", {{"signal", std::to_string(signal)}});
                m_stopping_since = now();
                m_agent->stop_claiming();
                m_agent->resign(true);
            }
            wait_for_signals();
        });
    }

    node_settings m_settings;
    node_platform m_platform;
    std::shared_ptr<caller_budget> m_caller_budget;
    asio::io_context m_loop{1};
    asio::steady_timer m_timer;
    asio::signal_set m_signals;
    loop_port m_loop_port;
    std::unique_ptr<http_client> m_log_client;
    std::unique_ptr<http_client> m_worker_client;
    std::unique_ptr<http_client> m_vm_client;
    log_port m_log;
    std::string m_self;
    call_router m_router;
    call_transport m_transport;
    std::optional<time_point> m_stopping_since;
    decision_log m_decisions;
    time_point m_won_at;
    std::unique_ptr<cluster_agent> m_agent;
    std::unique_ptr<order_forwarder> m_order_forwarder;
    std::unique_ptr<order_distributor> m_distributor;
    time_point m_relays_chosen_at;
    std::unique_ptr<fleet_owner> m_owner;
    std::unique_ptr<peer_mesh> m_mesh;
    std::unique_ptr<http_server> m_ready_server;
    std::unique_ptr<http_server> m_caller_server;
    std::unique_ptr<http_server> m_metrics_server;
};

tl::expected<std::unique_ptr<node_process>, listen_error>
node_process::create(const node_settings& settings, node_platform platform)
{
    auto process = std::make_unique<implementation>(settings, std::move(platform));
    auto listening = process->listen();
    if (!listening) {
        return tl::make_unexpected(listening.error());
    }
    return std::unique_ptr<node_process>{new node_process{std::move(process)}};
}

node_process::node_process(std::unique_ptr<implementation> process)
    : m_implementation{std::move(process)}
{
}

node_process::~node_process() = default;

shutdown_result node_process::run()
{
    return m_implementation->run();
}

} // namespace peridotrudder
