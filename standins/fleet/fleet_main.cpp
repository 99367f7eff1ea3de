/// @file
/// `standin-fleet`: replaces the users' platform around `peridot-scheduler` in tests: the log, the
/// VMs and their workers, with fault injection and a ledger of the runs that workers executed.
/// Keeps everything in memory. Not for production.

#include "standins/fleet/vm_pools.hpp"

#include "peridotrudder/links/http_server.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 7200,
              "Port of the log, the VM list and the test controls; workers get the next ports");
DEFINE_uint32(advertised_shift, 0,
              "Added to the ports that workers publish in the log, for a proxy");
DEFINE_uint32(vms_per_pool, 4, "VMs in each pool at start-up");
DEFINE_string(pool_sizes, "", "VMs in each pool instead, separated by commas, the spare pool last");
DEFINE_string(zones, "one", "Zones of the VMs' racks, in turn, separated by commas");
DEFINE_string(pools, "quick,deep", "Names of the pools, separated by commas");
DEFINE_string(spare_pool, "spare", "Pool whose VMs run no worker");
DEFINE_uint32(seed, 1, "Seed of the random fault injection");

namespace {

using namespace standins;
using nlohmann::json;
using peridotrudder::http_request;
using peridotrudder::http_responder;
using peridotrudder::http_response;
using peridotrudder::json_response;
using peridotrudder::milliseconds;

constexpr milliseconds tick_interval{10};
constexpr std::uint32_t ok = 200;
constexpr std::uint32_t unavailable = 503;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Faults that a test sets with POST /faults.
struct fleet_faults {
    bool m_log_down{false};
    /// Delay of each request to the log.
    std::int64_t m_log_delay_ms{0};
    /// Percentage of appends that take effect but get no answer.
    std::uint32_t m_log_lost_percent{0};
    /// Percentage of orders to workers that take effect but get no answer.
    std::uint32_t m_orders_lost_percent{0};
    /// Percentage of orders to workers that get no answer and take effect seconds later.
    std::uint32_t m_orders_late_percent{0};
};

class fleet {
public:
    explicit fleet(asio::io_context& loop)
        : m_loop{loop},
          m_timer{loop},
          m_random{FLAGS_seed},
          m_pools{make_options(), m_log, [this](const worker_event& event) { record_event(event); }}
    {
        tick();
    }

    bool listen()
    {
        if (!serve(static_cast<std::uint16_t>(FLAGS_port),
                   [this](const http_request& request, http_responder respond) {
                       answer(request, std::move(respond));
                   })) {
            return false;
        }
        for (auto& [id, vm] : m_pools.vms()) {
            const bool is_listening = serve(
                vm.m_port, [this, id = id](const http_request& request, http_responder respond) {
                    answer_order(m_pools.vms().at(id), request, std::move(respond));
                });
            if (!is_listening) {
                return false;
            }
        }
        return true;
    }

private:
    static vm_pools_options make_options()
    {
        vm_pools_options options;
        options.m_address = FLAGS_address;
        options.m_first_port = static_cast<std::uint16_t>(FLAGS_port + 1);
        options.m_advertised_shift = static_cast<std::uint16_t>(FLAGS_advertised_shift);
        options.m_vms_per_pool = FLAGS_vms_per_pool;
        options.m_spare_pool = FLAGS_spare_pool;
        options.m_pools = split(FLAGS_pools);
        options.m_zones = split(FLAGS_zones);
        for (const auto& size : split(FLAGS_pool_sizes)) {
            options.m_pool_sizes.push_back(static_cast<std::uint32_t>(std::stoul(size)));
        }
        return options;
    }

    static std::vector<std::string> split(const std::string& list)
    {
        std::vector<std::string> parts;
        std::istringstream rest{list};
        for (std::string part; std::getline(rest, part, ',');) {
            parts.push_back(part);
        }
        return parts;
    }

    bool serve(std::uint16_t port, peridotrudder::http_handler handler)
    {
        peridotrudder::http_server_options options;
        options.m_address = FLAGS_address;
        options.m_port = port;
        auto server = peridotrudder::http_server::create_on(m_loop, options, std::move(handler));
        if (!server) {
            std::cerr << "cannot listen on port " << port << ": " << server.error().m_reason
                      << '\n';
            return false;
        }
        m_servers.push_back(std::move(*server));
        return true;
    }

    void tick()
    {
        const auto now = unix_ms();
        m_log.expire_reads(now);
        m_pools.tick(now);
        m_timer.expires_after(tick_interval);
        m_timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                tick();
            }
        });
    }

    void run_after(std::int64_t delay_ms, std::function<void()> action)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_loop, milliseconds{delay_ms});
        timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
            if (!error) {
                action();
            }
        });
    }

    bool occurs(std::uint32_t percent) { return m_random() % 100 < percent; }

    void record_event(const worker_event& event)
    {
        m_ledger.push_back(json{{"at_ms", event.m_time_ms},
                                {"what", event.m_kind},
                                {"task", event.m_task},
                                {"run", event.m_run},
                                {"worker", event.m_worker},
                                {"born", event.m_started_at_ms}}
                               .dump());
    }

    void answer(const http_request& request, http_responder respond)
    {
        if (request.m_path.rfind("/-/log-", 0) == 0) {
            answer_log(request, std::move(respond));
        }
        else if (request.m_path.rfind("/-/machine", 0) == 0) {
            respond(m_pools.answer(request, unix_ms()));
        }
        else {
            respond(answer_control_request(request));
        }
    }

    void answer_log(const http_request& request, http_responder respond)
    {
        if (m_faults.m_log_down) {
            respond(json_response(unavailable, "{}"));
            return;
        }
        const bool lost = request.m_path == "/-/log-append" && occurs(m_faults.m_log_lost_percent);
        auto reply = lost ? [](const http_response&) {} : std::move(respond);
        if (m_faults.m_log_delay_ms == 0) {
            m_log.answer(request, unix_ms(), std::move(reply));
            return;
        }
        run_after(m_faults.m_log_delay_ms, [this, request, reply = std::move(reply)]() mutable {
            m_log.answer(request, unix_ms(), std::move(reply));
        });
    }

    void answer_order(stand_in_vm& vm, const http_request& request, http_responder respond)
    {
        constexpr std::uint32_t misdirected = 421;
        const auto expected = peridotrudder::find_header(request.m_headers, "Expect-Instance");
        if (vm.m_late_orders_percent > 0 && occurs(vm.m_late_orders_percent)) {
            carry_out_under_id(vm, std::string{expected}, request,
                               vm.m_late_orders_close ? nullptr : std::move(respond));
            return;
        }
        if (!vm.m_worker) {
            // No worker runs on the VM: no answer, as from a VM that is switched off.
            return;
        }
        if (expected != vm.m_worker->id()) {
            respond(json_response(misdirected, "{}"));
            return;
        }
        const bool late = occurs(m_faults.m_orders_late_percent);
        const bool lost = late || occurs(m_faults.m_orders_lost_percent);
        auto reply = lost ? [](const http_response&) {} : std::move(respond);
        if (!late) {
            vm.m_worker->answer(request, unix_ms(), std::move(reply));
            return;
        }
        constexpr std::int64_t min_delay_ms = 2'000;
        constexpr std::int64_t delay_spread_ms = 4'000;
        const auto delay =
            min_delay_ms + static_cast<std::int64_t>(m_random() % std::uint64_t{delay_spread_ms});
        // The worker has the order, so a restart loses it, also if the worker keeps its id.
        run_after(delay, [this, &vm, request, came_at_ms = unix_ms(),
                          started_at_ms = vm.m_worker->started_at_ms()] {
            if (vm.m_worker && vm.m_worker->started_at_ms() == started_at_ms) {
                carry_out_late(*vm.m_worker, request, came_at_ms);
            }
        });
    }

    /// Lets whichever worker has the id some seconds later carry out an order, also if it has
    /// restarted since. The connection closes with the last copy of `respond`, without an answer.
    void carry_out_under_id(stand_in_vm& vm, const std::string& id, const http_request& request,
                            http_responder respond)
    {
        constexpr std::int64_t min_delay_ms = 2'000;
        constexpr std::int64_t delay_spread_ms = 9'500;
        const auto delay =
            min_delay_ms + static_cast<std::int64_t>(m_random() % std::uint64_t{delay_spread_ms});
        run_after(delay, [this, &vm, id, request, came_at_ms = unix_ms(),
                          unanswered = std::move(respond)] {
            if (vm.m_worker && vm.m_worker->id() == id) {
                carry_out_late(*vm.m_worker, request, came_at_ms);
            }
        });
    }

    void carry_out_late(task_worker& worker, const http_request& request, std::int64_t came_at_ms)
    {
        record_late_start(worker, request, came_at_ms);
        worker.answer(request, unix_ms(), [](const http_response&) {});
    }

    void record_late_start(const task_worker& worker, const http_request& request,
                           std::int64_t came_at_ms)
    {
        const auto body = json::parse(request.m_body, nullptr, false);
        if (request.m_path == "/-/run-start" && body.is_object()) {
            record_event({unix_ms(), "late", body.value("task", std::string{}),
                          body.value("run", std::uint64_t{0}), worker.id(), came_at_ms});
        }
    }

    /// Answers the control requests of tests: operator records, faults, crashes and the ledger.
    http_response answer_control_request(const http_request& request)
    {
        constexpr std::uint32_t not_found = 404;
        const auto query = parse_query(request.m_query);
        const auto value = [&query](const char* name) {
            const auto parameter = query.find(name);
            return parameter == query.end() ? std::string{} : parameter->second;
        };
        if (request.m_path == "/operator") {
            m_log.put("keyed.op", value("key"), request.m_body);
            return json_response(ok, "{}");
        }
        if (request.m_path == "/status") {
            return json_response(ok, m_log.newest("keyed.status", value("key")));
        }
        if (request.m_path == "/faults") {
            return set_faults(request.m_body);
        }
        if (request.m_path == "/forget") {
            m_log.forget_history();
            return json_response(ok, "{}");
        }
        if (request.m_path == "/crash") {
            auto& vms = m_pools.vms();
            auto vm = std::next(vms.begin(), static_cast<std::ptrdiff_t>(m_random() % vms.size()));
            constexpr std::int64_t down_ms = 3'000;
            m_pools.crash(vm->second, unix_ms(), down_ms);
            return json_response(ok, json{{"vm", vm->first}}.dump());
        }
        if (request.m_path == "/ledger") {
            return ledger(static_cast<std::size_t>(std::atoll(value("from").c_str())));
        }
        if (request.m_path == "/entry") {
            // An empty body deletes the entry.
            m_log.put("keyed.servers", value("key"), request.m_body);
            return json_response(ok, "{}");
        }
        const auto body = json::parse(request.m_body, nullptr, false);
        const auto vm = m_pools.vms().find(body.is_object() ? body.value("vm", "") : "");
        if (vm == m_pools.vms().end()) {
            return json_response(not_found, "{}");
        }
        return change_worker(request.m_path, vm->second, body);
    }

    http_response change_worker(std::string_view path, stand_in_vm& vm, const json& body)
    {
        if (path == "/restart") {
            m_pools.restart(vm, unix_ms(),
                            {body.value("down_ms", std::int64_t{0}),
                             body.value("entry_delay_ms", std::int64_t{0}),
                             body.value("born_shift_ms", std::int64_t{0}),
                             body.value("keeps_id", false), body.value("vm_is_down", false)});
        }
        if (path == "/late-orders") {
            vm.m_late_orders_percent = body.value("percent", 0U);
            vm.m_late_orders_close = body.value("closes", false);
        }
        if (path == "/capacity") {
            m_pools.set_capacity(vm, unix_ms(), body.value("percent", 100U));
        }
        return json_response(ok, "{}");
    }

    http_response set_faults(const std::string& body)
    {
        const auto requested = json::parse(body, nullptr, false);
        if (!requested.is_object()) {
            constexpr std::uint32_t bad_request = 400;
            return json_response(bad_request, "{}");
        }
        m_faults.m_log_down = requested.value("log_down", false);
        m_faults.m_log_delay_ms = requested.value("log_delay_ms", std::int64_t{0});
        m_faults.m_log_lost_percent = requested.value("log_lost", 0U);
        m_faults.m_orders_lost_percent = requested.value("orders_lost", 0U);
        m_faults.m_orders_late_percent = requested.value("orders_late", 0U);
        return json_response(ok, "{}");
    }

    http_response ledger(std::size_t from) const
    {
        std::string lines = "[";
        for (auto index = from; index < m_ledger.size(); ++index) {
            lines += (index == from ? "" : ",") + m_ledger[index];
        }
        return json_response(ok, lines + "]");
    }

    asio::io_context& m_loop;
    asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    log_store m_log;
    fleet_faults m_faults;
    std::vector<std::string> m_ledger;
    vm_pools m_pools;
    std::vector<std::unique_ptr<peridotrudder::http_server>> m_servers;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Replaces the platform around the scheduler in tests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context loop{1};
    fleet stand_in_fleet{loop};
    if (!stand_in_fleet.listen()) {
        return 1;
    }
    asio::signal_set signals{loop, SIGTERM, SIGINT};
    signals.async_wait([&loop](const asio::error_code&, int) { loop.stop(); });
    loop.run();
    return 0;
}
