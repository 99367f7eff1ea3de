#include "peridotrudder/entry/entry_process.hpp"

#include "peridotrudder/base/hash.hpp"
#include "peridotrudder/base/variant_codec.hpp"
#include "peridotrudder/entry/caller_api.hpp"
#include "peridotrudder/entry/operator_api.hpp"
#include "peridotrudder/links/peer_mesh.hpp"
#include "peridotrudder/links/peer_messages.hpp"
#include "peridotrudder/links/vm_list_reader.hpp"
#include "peridotrudder/membership/failure_detector.hpp"
#include "peridotrudder/telemetry/log.hpp"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <map>
#include <set>
#include <thread>

namespace peridotrudder {

namespace {

constexpr std::size_t incarnation_bytes = 8;
constexpr std::size_t max_spans = 20'000;
constexpr std::size_t operator_threads = 1;
constexpr milliseconds tick_interval{5};
constexpr milliseconds heartbeat_interval{250};
constexpr milliseconds suspect_after{2'000};
constexpr milliseconds poll_interval{250};
constexpr milliseconds vm_list_interval{500};
constexpr milliseconds metrics_interval{1'000};
constexpr milliseconds join_timeout{5'000};
constexpr milliseconds join_retry_delay{500};
constexpr milliseconds leave_timeout{10'000};
constexpr milliseconds handover_timeout{10'000};
constexpr milliseconds stop_poll{20};
/// Largest number of log records in one reply to a peer.
constexpr std::size_t tail_reply_limit = 200;
/// Time for which a peer's report that a VM is leaving stays valid.
constexpr milliseconds leaving_report_lifetime{3'000};

time_point now_point()
{
    return std::chrono::steady_clock::now();
}

router_options make_router_options(const entry_settings& settings, const std::string& self)
{
    router_options options;
    options.m_self = self;
    options.m_upstream_timeout = settings.m_upstream_timeout;
    options.m_make_policy = [policy = settings.m_slot_policy, self] {
        if (policy == slot_policy::two_choices) {
            return two_choices(static_cast<std::uint32_t>(placement_hash(self)));
        }
        return leased_slots();
    };
    return options;
}

void log_refusal(caller_refusal cause, std::uint64_t count)
{
    log_event(log_level::warning, "callers_refused",
              {{"cause", std::string{to_string(cause)}}, {"count", std::to_string(count)}});
}

} // namespace

class entry_process::implementation {
public:
    explicit implementation(const entry_settings& settings)
        : m_settings{settings},
          m_self{random_hex(incarnation_bytes)},
          m_caller_budget{std::make_shared<caller_budget>(
              make_caller_limits(settings.m_memory_bytes,
                                 std::max<std::size_t>(settings.m_max_body_bytes,
                                                       http_server_options{}.m_max_body_bytes),
                                 settings.m_max_descriptors),
              log_refusal)},
          m_platform{settings.m_platform_url, settings.m_name},
          m_vm_list{m_platform},
          m_spans{max_spans},
          m_log{m_platform, m_self, poll_interval,
                [this](const std::shared_ptr<const fleet_state>& state) { apply_state(state); }},
          m_upstreams{http_client::create()},
          m_router{make_router_options(settings, m_self),
                   {[this](const std::string& to, const peer_message& message) {
                        return m_mesh->send(to, encode_peer_message(message));
                    },
                    m_upstreams.get(), &m_metrics, &m_spans}},
          m_callers{m_router, m_metrics, m_spans},
          m_operators{{settings.m_name, settings.m_operator_token, &m_log, &m_router, &m_metrics,
                       &m_spans, [this] { return m_callers.availability(); },
                       [this] { return m_ready.load(); }}},
          m_detector{m_self, suspect_after}
    {
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation()
    {
        m_stopping = true;
        for (auto* thread : {&m_ticker, &m_heartbeats, &m_vm_lister}) {
            if (thread->joinable()) {
                thread->join();
            }
        }
        m_caller_server.reset();
        m_operators.stop();
        m_operator_server.reset();
        m_log.stop();
        if (m_mesh) {
            m_mesh->stop();
        }
        // Callbacks of upstream calls use the router and the mesh, so they must end before either.
        m_upstreams.reset();
    }

    tl::expected<void, start_fault> start()
    {
        if (!start_mesh() || !start_operator_server()) {
            return tl::make_unexpected(start_fault::cannot_listen);
        }
        m_log.start();
        m_ticker = std::thread{[this] { run_ticks(); }};
        m_heartbeats = std::thread{[this] { run_heartbeats(); }};
        m_vm_lister = std::thread{[this] { run_vm_list(); }};
        return {};
    }

    entry_exit_status run(const std::function<bool()>& should_stop)
    {
        while (!should_stop() && !m_joined) {
            join();
        }
        if (m_joined && !start_caller_server()) {
            return entry_exit_status::incomplete;
        }
        m_ready = m_joined.load();
        while (!should_stop() && !m_evicted) {
            std::this_thread::sleep_for(stop_poll);
        }
        return shut_down();
    }

private:
    bool start_mesh()
    {
        peer_mesh_options options;
        options.m_address = m_settings.m_address;
        options.m_port = m_settings.m_peer_port;
        options.m_self = m_self;
        options.m_cluster_token = m_settings.m_cluster_token;
        options.m_max_handshakes =
            make_handshake_limit(m_settings.m_max_handshakes, m_settings.m_max_descriptors);
        auto mesh = peer_mesh::create(
            options, [this](const std::string& from, gsl::span<const std::uint8_t> frame) {
                const auto message = decode_peer_message(frame);
                if (message) {
                    std::visit([&](const auto& content) { receive(from, content); }, *message);
                }
                return message.has_value();
            });
        if (!mesh) {
            report_listen_error(mesh.error());
            return false;
        }
        m_mesh = std::move(*mesh);
        return true;
    }

    static void report_listen_error(const listen_error& error)
    {
        log_event(log_level::error, "cannot_listen",
                  {{"address", error.m_address},
                   {"port", std::to_string(error.m_port)},
                   {"reason", error.m_reason}});
    }

    http_server_options listen_at(std::uint16_t port, std::size_t max_connections) const
    {
        http_server_options options;
        options.m_address = m_settings.m_address;
        options.m_port = port;
        options.m_max_header_bytes = m_settings.m_max_header_bytes;
        options.m_max_connections = max_connections;
        options.m_budget = m_caller_budget;
        return options;
    }

    bool start_operator_server()
    {
        constexpr std::size_t connections_share = 8;
        auto options =
            listen_at(m_settings.m_operator_port, m_settings.m_max_connections / connections_share);
        options.m_threads = operator_threads;
        return start_server(options, m_operator_server,
                            [this](http_request request, const http_responder& respond) {
                                m_operators.handle(std::move(request), respond);
                            });
    }

    bool start_caller_server()
    {
        auto options = listen_at(m_settings.m_caller_port, m_settings.m_max_connections);
        options.m_threads = m_settings.m_caller_threads;
        options.m_max_body_bytes = m_settings.m_max_body_bytes;
        options.m_closing_response = closing_response();
        return start_server(options, m_caller_server,
                            [this](http_request request, const http_responder& respond) {
                                m_callers.handle(std::move(request), respond);
                            });
    }

    static bool start_server(const http_server_options& options,
                             std::unique_ptr<http_server>& server, http_handler handler)
    {
        auto started = http_server::create(options, std::move(handler));
        if (!started) {
            report_listen_error(started.error());
            return false;
        }
        server = std::move(*started);
        return true;
    }

    void join()
    {
        if (!m_log.is_started()) {
            std::this_thread::sleep_for(stop_poll);
            return;
        }
        member self;
        self.m_entry = m_settings.m_name;
        self.m_incarnation = m_self;
        self.m_zone = m_settings.m_zone;
        self.m_region = m_settings.m_region;
        self.m_address = m_settings.m_address;
        self.m_peer_port = m_settings.m_peer_port;
        self.m_operator_port = m_settings.m_operator_port;
        const auto result =
            m_log.append(m_log.make_record(entry_joined{self}, "started"), join_timeout);
        if (result || m_log.state()->current_view().find(m_self) != nullptr) {
            m_joined = true;
            log_event(log_level::info, "joined",
                      {{"entry", m_settings.m_name}, {"incarnation", m_self}});
            return;
        }
        std::this_thread::sleep_for(join_retry_delay);
    }

    entry_exit_status shut_down()
    {
        m_ready = false;
        m_callers.start_draining();
        if (!m_evicted && m_joined) {
            m_leaving = true;
            m_log.append(m_log.make_record(entry_left{m_self}, "graceful shutdown"), leave_timeout);
        }
        const auto deadline = now_point() + m_settings.m_upstream_timeout + handover_timeout;
        while (now_point() < deadline) {
            const bool done = m_router.open_calls() == 0;
            if (done && (m_evicted || m_router.partitions().is_handed_over())) {
                return m_evicted ? entry_exit_status::evicted : entry_exit_status::left;
            }
            std::this_thread::sleep_for(stop_poll);
        }
        return m_evicted ? entry_exit_status::evicted : entry_exit_status::incomplete;
    }

    void apply_state(const std::shared_ptr<const fleet_state>& state)
    {
        const auto& current = state->current_view();
        if (current.find(m_self) != nullptr) {
            m_seen_in_view = true;
        }
        else if (m_seen_in_view && !m_leaving) {
            m_evicted = true;
        }
        std::vector<peer_endpoint> peers;
        const auto add_peer = [&](const member& peer) {
            if (peer.m_incarnation != m_self) {
                peers.push_back({peer.m_incarnation, peer.m_address, peer.m_peer_port});
            }
        };
        std::for_each(current.m_members.begin(), current.m_members.end(), add_peer);
        // Members that left recently may still have records to hand over.
        const auto& former = state->former_members();
        std::for_each(former.begin(), former.end(), add_peer);
        m_mesh->set_peers(peers);
        {
            const std::lock_guard<std::mutex> lock{m_detector_mutex};
            m_detector.set_view(current, now_point());
        }
        m_callers.set_state(state);
        m_router.set_state(state, leaving_vms());
    }

    std::set<std::string> leaving_vms()
    {
        const std::lock_guard<std::mutex> lock{m_leaving_mutex};
        std::set<std::string> leaving = m_listed_leaving;
        for (const auto& [vm, until] : m_reported_leaving) {
            if (now_point() < until) {
                leaving.insert(vm);
            }
        }
        return leaving;
    }

    template <typename Message>
    void receive(const std::string& from, const Message& message)
    {
        if constexpr (std::is_constructible_v<partition_message, Message>) {
            m_router.receive(from, partition_message{message});
        }
        else {
            m_router.receive(from, message);
        }
    }

    void receive(const std::string& from, const heartbeat& message)
    {
        {
            const std::lock_guard<std::mutex> lock{m_detector_mutex};
            m_detector.heard(from, message.m_suspects, now_point());
        }
        if (message.m_next_offset > m_log.state()->next_offset() && !m_log.is_connected()) {
            m_mesh->send(from, encode_peer_message(tail_request{m_log.state()->next_offset()}));
        }
        if (message.m_leaving_vms.empty()) {
            return;
        }
        {
            const std::lock_guard<std::mutex> lock{m_leaving_mutex};
            for (const auto& vm : message.m_leaving_vms) {
                m_reported_leaving[vm] = now_point() + leaving_report_lifetime;
            }
        }
        m_router.set_state(m_log.state(), leaving_vms());
    }

    void receive(const std::string& from, const tail_request& message)
    {
        tail_reply reply;
        for (const auto& logged : m_log.tail_from(message.m_from, tail_reply_limit)) {
            reply.m_records.push_back({logged.m_offset, encode_record(logged.m_record)});
        }
        if (reply.m_records.empty() && m_log.state()->next_offset() > message.m_from) {
            reply.m_snapshot = m_log.state()->to_json();
        }
        m_mesh->send(from, encode_peer_message(reply));
    }

    void receive(const std::string& /*from*/, const tail_reply& message)
    {
        if (message.m_snapshot) {
            const auto state = fleet_state::from_json(*message.m_snapshot);
            if (state) {
                m_log.adopt_snapshot(*state);
            }
            return;
        }
        std::vector<logged_record> records;
        for (const auto& received : message.m_records) {
            auto value = decode_record(received.m_record);
            if (!value) {
                return;
            }
            records.push_back({received.m_offset, std::move(*value)});
        }
        m_log.apply_tail(records);
    }

    void run_ticks()
    {
        auto next_metrics = now_point();
        while (!m_stopping) {
            std::this_thread::sleep_for(tick_interval);
            m_router.tick();
            if (now_point() >= next_metrics) {
                next_metrics = now_point() + metrics_interval;
                update_gauges();
            }
        }
    }

    void update_gauges()
    {
        const auto traffic = m_mesh->traffic();
        m_metrics.set_gauge("peer_sent_bytes", static_cast<double>(traffic.m_sent_bytes));
        m_metrics.set_gauge("peer_sent_messages", static_cast<double>(traffic.m_sent_messages));
        m_metrics.set_gauge("peer_received_bytes", static_cast<double>(traffic.m_received_bytes));
        m_metrics.set_gauge("peer_rejected_messages",
                            static_cast<double>(traffic.m_rejected_messages));
        m_metrics.set_gauge("peer_oversized_messages",
                            static_cast<double>(traffic.m_oversized_messages));
        m_metrics.set_gauge("peer_handshakes", static_cast<double>(m_mesh->pending_handshakes()));
        for (const auto name : enum_names<handshake_refusal>::values) {
            const auto cause = *from_string<handshake_refusal>(name);
            m_metrics.set_gauge(fmt::format("handshakes_{}", name),
                                static_cast<double>(m_mesh->refusals(cause)));
        }
        m_metrics.set_gauge("log_next_offset", static_cast<double>(m_log.state()->next_offset()));
        m_metrics.set_gauge("log_connected", m_log.is_connected() ? 1 : 0);
        m_metrics.set_gauge("view_members",
                            static_cast<double>(m_log.state()->current_view().m_members.size()));
        m_metrics.set_gauge("open_calls", static_cast<double>(m_router.open_calls()));
        m_metrics.set_gauge("key_records",
                            static_cast<double>(m_router.partitions().record_count()));
        m_metrics.set_gauge("open_partitions",
                            static_cast<double>(m_router.partitions().open_count()));
        update_caller_gauges();
    }

    void update_caller_gauges()
    {
        m_metrics.set_gauge("caller_connections",
                            static_cast<double>(m_caller_budget->connections()));
        m_metrics.set_gauge("caller_bytes", static_cast<double>(m_caller_budget->used_bytes()));
        m_metrics.set_gauge("waiting_bodies", static_cast<double>(m_caller_budget->waiting()));
        for (const auto name : enum_names<caller_refusal>::values) {
            const auto cause = *from_string<caller_refusal>(name);
            m_metrics.set_gauge(fmt::format("refused_{}", name),
                                static_cast<double>(m_caller_budget->refusals(cause)));
        }
    }

    void run_heartbeats()
    {
        while (!m_stopping) {
            send_heartbeats();
            propose_evictions();
            std::this_thread::sleep_for(heartbeat_interval);
        }
    }

    void send_heartbeats()
    {
        const auto state = m_log.state();
        heartbeat message;
        message.m_next_offset = state->next_offset();
        {
            const std::lock_guard<std::mutex> lock{m_detector_mutex};
            message.m_suspects = m_detector.suspects(now_point());
        }
        {
            const std::lock_guard<std::mutex> lock{m_leaving_mutex};
            message.m_leaving_vms = {m_listed_leaving.begin(), m_listed_leaving.end()};
        }
        for (const auto& peer : state->current_view().m_members) {
            if (peer.m_incarnation != m_self) {
                m_mesh->send(peer.m_incarnation, encode_peer_message(message));
            }
        }
    }

    void propose_evictions()
    {
        std::vector<eviction> proposals;
        {
            const std::lock_guard<std::mutex> lock{m_detector_mutex};
            proposals = m_detector.evictions(now_point());
        }
        for (const auto& proposal : proposals) {
            log_event(log_level::warning, "evicting", {{"incarnation", proposal.m_incarnation}});
            const auto value =
                m_log.make_record(entry_evicted{proposal.m_incarnation, proposal.m_observers},
                                  "no heartbeat received by most members of the view");
            m_log.append(value, heartbeat_interval);
        }
    }

    void run_vm_list()
    {
        while (!m_stopping) {
            read_vm_list();
            std::this_thread::sleep_for(vm_list_interval);
        }
    }

    void read_vm_list()
    {
        const auto list = m_vm_list.read();
        if (!list) {
            return;
        }
        std::set<std::string> leaving;
        for (const auto& listed : (*list)->m_vms) {
            if (listed.m_leaving) {
                leaving.insert(listed.m_vm.m_id);
            }
        }
        {
            const std::lock_guard<std::mutex> lock{m_leaving_mutex};
            m_listed_leaving = std::move(leaving);
        }
        m_router.set_state(m_log.state(), leaving_vms());
    }

    entry_settings m_settings;
    std::string m_self;
    std::shared_ptr<caller_budget> m_caller_budget;
    platform_client m_platform;
    vm_list_reader m_vm_list;
    entry_metrics m_metrics;
    span_store m_spans;
    log_watcher m_log;
    std::unique_ptr<http_client> m_upstreams;
    std::unique_ptr<peer_mesh> m_mesh;
    request_router m_router;
    caller_api m_callers;
    operator_api m_operators;
    std::mutex m_detector_mutex;
    failure_detector m_detector;
    std::mutex m_leaving_mutex;
    std::set<std::string> m_listed_leaving;
    std::map<std::string, time_point> m_reported_leaving;
    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_joined{false};
    std::atomic<bool> m_seen_in_view{false};
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_evicted{false};
    std::atomic<bool> m_stopping{false};
    std::unique_ptr<http_server> m_caller_server;
    std::unique_ptr<http_server> m_operator_server;
    std::thread m_ticker;
    std::thread m_heartbeats;
    std::thread m_vm_lister;
};

tl::expected<std::unique_ptr<entry_process>, start_fault>
entry_process::create(const entry_settings& settings)
{
    auto impl = std::make_unique<implementation>(settings);
    const auto started = impl->start();
    if (!started) {
        return tl::make_unexpected(started.error());
    }
    return std::unique_ptr<entry_process>{new entry_process{std::move(impl)}};
}

entry_process::entry_process(std::unique_ptr<implementation> impl)
    : m_implementation{std::move(impl)}
{
}

entry_process::~entry_process() = default;

entry_exit_status entry_process::run(const std::function<bool()>& should_stop)
{
    return m_implementation->run(should_stop);
}

} // namespace peridotrudder
