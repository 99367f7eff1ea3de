#include "peridotrudder/entry/planner_process.hpp"

#include "peridotrudder/base/hash.hpp"
#include "peridotrudder/entry/operator_api.hpp"
#include "peridotrudder/telemetry/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <thread>

namespace peridotrudder {

namespace {

constexpr std::size_t incarnation_bytes = 8;
constexpr milliseconds step_interval{500};
constexpr milliseconds poll_interval{500};
constexpr milliseconds renew_interval{3'000};
/// Time after the last renewal for which the holder may act.
constexpr milliseconds holder_lease_time{6'000};
/// Time without a renewal after which others may claim the term.
constexpr milliseconds claim_timeout{10'000};
constexpr milliseconds append_timeout{3'000};
constexpr milliseconds query_timeout{1'000};
constexpr std::uint64_t records_per_snapshot = 500;
constexpr std::uint32_t ok = 200;

time_point now_point()
{
    return std::chrono::steady_clock::now();
}

/// A worker's report of its load.
struct usage_report {
    std::uint32_t m_running{0};
    std::uint32_t m_queued{0};
    /// Age of the report.
    milliseconds m_age{0};

    template <typename Archive, typename Self>
    static void describe(Archive& archive, Self& self)
    {
        archive.field("running", self.m_running);
        archive.field("queued", self.m_queued);
        archive.field("age_ms", self.m_age);
    }
};

template <typename T>
std::optional<T> get_json(const std::string& url, const std::string& token)
{
    http_call query;
    query.m_url = url;
    query.m_timeout = query_timeout;
    query.m_headers.push_back({"Authorization", "Bearer " + token});
    const auto answer = fetch(query);
    if (!answer || answer->m_status != ok) {
        return std::nullopt;
    }
    auto value = decode_text<T>(answer->m_body);
    return value ? std::optional<T>{std::move(*value)} : std::nullopt;
}

bool has_running_wave(const fleet_state& state)
{
    return std::any_of(state.waves().begin(), state.waves().end(), [](const auto& entry) {
        return entry.second.m_status == wave_status::running;
    });
}

} // namespace

planner_process::planner_process(const entry_settings& settings)
    : m_settings{settings},
      m_self{fmt::format("planner-{}-{}", settings.m_name, random_hex(incarnation_bytes))},
      m_platform{settings.m_platform_url, settings.m_name},
      m_vm_list{m_platform},
      m_log{m_platform, m_self, poll_interval, {}},
      m_seen_renewal_at{now_point()}
{
}

void planner_process::run(const std::function<bool()>& should_stop)
{
    m_log.start();
    while (!should_stop()) {
        step();
        std::this_thread::sleep_for(step_interval);
    }
    m_log.stop();
}

void planner_process::step()
{
    if (!m_log.is_started() || !m_log.is_connected()) {
        return;
    }
    const auto now = now_point();
    if (!claim_or_renew_term(now)) {
        return;
    }
    execute_plan(now_point());
    take_snapshot_if_due();
}

// Claims the term if it is vacant and renews it if it is held. Returns whether this process may
// act now.
bool planner_process::claim_or_renew_term(time_point now)
{
    const auto state = m_log.state();
    const auto& term = state->term();
    if (term.m_renewed_at != m_seen_renewal) {
        m_seen_renewal = term.m_renewed_at;
        m_seen_renewal_at = now;
    }
    if (term.m_holder == m_self && term.m_number == m_held_term) {
        if (now - m_renewed >= renew_interval) {
            renew_term(now);
        }
        return now_point() - m_renewed < holder_lease_time;
    }
    const bool is_vacant = term.m_number == 0 || now - m_seen_renewal_at >= claim_timeout;
    if (is_vacant) {
        claim_term(*state, now);
    }
    return m_held_term != 0 && m_log.state()->term().m_number == m_held_term;
}

void planner_process::claim_term(const fleet_state& state, time_point now)
{
    const auto claim = m_log.make_record(term_claimed{m_self, state.term().m_number},
                                         "no renewal of the term was observed");
    const auto result = m_log.append(claim, append_timeout);
    if (result && result->m_verdict == verdict::accepted) {
        m_held_term = result->m_offset + 1;
        m_renewed = now;
        log_event(log_level::info, "term_claimed", {{"term", std::to_string(m_held_term)}});
    }
}

void planner_process::renew_term(time_point now)
{
    // The lease starts at the time before the append, so that it never ends later than others
    // expect.
    const auto result = m_log.append(m_log.make_record(term_renewed{}, "renewal"), append_timeout);
    if (result && result->m_verdict == verdict::accepted) {
        m_renewed = now;
    }
}

void planner_process::execute_plan(time_point now)
{
    const auto state = m_log.state();
    planner_inputs inputs;
    inputs.m_state = state.get();
    inputs.m_now = now;
    const auto listed = m_vm_list.read();
    if (listed) {
        inputs.m_vms = **listed;
    }
    if (has_running_wave(*state)) {
        inputs.m_burn_rates = burn_rates(*state);
    }
    for (const auto& [id, entry] : state->vms()) {
        if (entry.m_phase == vm_phase::draining) {
            inputs.m_drains[id] = check_drain(*state, id, entry, now);
        }
    }
    for (const auto& action : m_planner.plan(inputs)) {
        // The lease is checked again before each action, since the previous one may have taken
        // long.
        if (now_point() - m_renewed >= holder_lease_time) {
            return;
        }
        if (const auto* planned = std::get_if<planned_record>(&action)) {
            append_record(*planned);
        }
        else {
            reboot(std::get<planned_reboot>(action));
        }
    }
}

void planner_process::append_record(const planned_record& planned)
{
    auto value = m_log.make_record(planned.m_body, planned.m_reason);
    value.m_term = m_held_term;
    const auto result = m_log.append(value, append_timeout);
    const auto result_code = result ? to_string(result->m_verdict) : to_string(result.error());
    log_event(log_level::info, "planned",
              {{"kind", std::string{kind_of(planned.m_body)}},
               {"reason", planned.m_reason},
               {"verdict", std::string{result_code}}});
}

void planner_process::reboot(const planned_reboot& planned)
{
    const auto result = m_platform.reboot(planned.m_vm, planned.m_boot);
    log_event(log_level::info, "reboot",
              {{"vm", planned.m_vm},
               {"boot", std::to_string(planned.m_boot)},
               {"result", result ? "accepted" : std::string{to_string(result.error())}}});
}

void planner_process::take_snapshot_if_due()
{
    const auto state = m_log.state();
    if (state->next_offset() < m_snapshot_offset + records_per_snapshot) {
        return;
    }
    m_snapshot_offset = state->next_offset();
    append_record({snapshot_taken{state->to_json()}, "lets older records expire"});
}

drain_status planner_process::check_drain(const fleet_state& state, const std::string& id,
                                          const vm_entry& entry, time_point now)
{
    drain_status status;
    const auto drain = std::pair{id, entry.m_version};
    if (!entries_are_done(state, id, entry)) {
        m_entries_done_since.erase(drain);
        return status;
    }
    status.m_entries_done = true;
    const auto entries_done_at = m_entries_done_since.emplace(drain, now).first->second;
    // Worker reports lag: only a report made after the entries were done proves an idle worker.
    status.m_worker_idle = worker_is_idle(entry.m_vm, remaining(entries_done_at, now));
    return status;
}

// Sums up the counts of the entries that answer. An entry that does not answer blocks drains in any
// case, see `entries_are_done`.
std::map<std::string, double> planner_process::burn_rates(const fleet_state& state) const
{
    std::map<std::string, availability_counts> sums;
    for (const auto& peer : state.current_view().m_members) {
        const auto url =
            fmt::format("http://{}:{}/v1/availability", peer.m_address, peer.m_operator_port);
        const auto report = get_json<availability_report>(url, m_settings.m_operator_token);
        if (!report) {
            continue;
        }
        for (const auto& [customer, counts] : report->m_customers) {
            sums[customer].m_good += counts.m_good;
            sums[customer].m_bad += counts.m_bad;
        }
    }
    std::map<std::string, double> rates;
    for (const auto& [customer, entry] : state.contracts()) {
        const auto limits = derive_limits(entry.m_contract);
        rates[customer] = burn_rate(sums[customer], limits.m_failure_budget_ppm);
    }
    return rates;
}

bool planner_process::entries_are_done(const fleet_state& state, const std::string& id,
                                       const vm_entry& entry) const
{
    const auto& members = state.current_view().m_members;
    return std::all_of(members.begin(), members.end(), [&](const member& peer) {
        const auto url =
            fmt::format("http://{}:{}/v1/in-flight/{}", peer.m_address, peer.m_operator_port, id);
        const auto in_flight = get_json<vm_in_flight>(url, m_settings.m_operator_token);
        return in_flight && in_flight->m_next_offset >= entry.m_version &&
               in_flight->m_in_flight == 0;
    });
}

bool planner_process::worker_is_idle(const vm& worker_vm, milliseconds max_age)
{
    const auto url = fmt::format("http://{}:{}/usage", worker_vm.m_address, worker_vm.m_port);
    const auto usage = get_json<usage_report>(url, "");
    return usage && usage->m_running == 0 && usage->m_queued == 0 && usage->m_age <= max_age;
}

} // namespace peridotrudder
